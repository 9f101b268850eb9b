#ifndef POLICY_RETRY_WINDOW_H_
#define POLICY_RETRY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace damasktack {

// Limits the retries that one host of a fleet sends to one service. All hosts
// together may send a fraction of the first sends of any window, plus a slack.
//
// Made for endpoints that refuse half of their calls for some seconds. A host
// of a large fleet has one call a second, and its share of the slack is less
// than one retry. What its calls earn stays valid for as long as the window
// counts them, and each host rounds by a random offset, so that the sum of the
// shares matches the total for any number of hosts.
class RetryWindow {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(10);

  // `fraction` is the allowed fraction of first sends; `rounding` is from 0 to
  // 1, drawn at random by each host.
  RetryWindow(double fraction, double rounding)
      : fraction_(fraction), rounding_(rounding) {}

  // Sets this host's share of the slack, in retries.
  void SetShare(double share) { share_ = share; }
  void OnFirstSend(TimePoint now) { ++SliceAt(now).first_sends; }
  // Spends one retry. Returns false, and spends nothing, if none is left.
  bool TrySpend(TimePoint now);

 private:
  // The window is divided into slices. Retries count for one slice longer than
  // first sends, so that the limit holds for every window of the fleet at any
  // offset.
  static constexpr std::int64_t kSlices = 20;
  static constexpr Duration kSlice = kWindow / kSlices;

  struct Slice {
    std::int64_t number = -1;
    std::int64_t first_sends = 0;
    std::int64_t retries = 0;
  };

  static std::int64_t NumberOf(TimePoint now) {
    return now.time_since_epoch() / kSlice;
  }
  Slice& SliceAt(TimePoint now);

  double fraction_;
  double rounding_;
  double share_ = 0;
  std::array<Slice, kSlices + 1> slices_;
};

}  // namespace damasktack

#endif  // POLICY_RETRY_WINDOW_H_
