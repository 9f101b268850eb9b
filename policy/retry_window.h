#ifndef POLICY_RETRY_WINDOW_H_
#define POLICY_RETRY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace damasktack {

// Part of the retries that may be spent on second sends of calls whose first
// send is in flight (hedges).
struct HedgeShare {
  // Limit on hedges as a fraction of first sends.
  double max_fraction = 0;
  // Fraction of the retry budget that hedges leave for retries.
  double reserve = 0;
};

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
  // Returns whether the fraction of hedges allows one more.
  bool AllowsHedge(const HedgeShare& share, TimePoint now) const;
  // Spends one retry on a hedge, if the reserve allows it.
  bool TrySpendOnHedge(const HedgeShare& share, TimePoint now);
  // Counts a hedge that was paid for otherwise.
  void OnHedge(TimePoint now) { ++SliceAt(now).hedges; }

 private:
  // The window is divided into slices. Retries count for one slice longer than
  // first sends, so that the limit holds for every window of the fleet at any
  // offset.
  static constexpr std::int64_t kSlices = 20;
  static constexpr Duration kSlice = kWindow / kSlices;

  struct Slice {
    std::int64_t number = -1;
    std::int64_t first_sends = 0;
    // Hedges included.
    std::int64_t retries = 0;
    std::int64_t hedges = 0;
  };

  static std::int64_t NumberOf(TimePoint now) {
    return now.time_since_epoch() / kSlice;
  }
  Slice& SliceAt(TimePoint now);
  // Returns whether one more retry leaves the reserve, a fraction of the whole.
  bool LeavesReserve(double reserve, TimePoint now) const;

  double fraction_;
  double rounding_;
  double share_ = 0;
  std::array<Slice, kSlices + 1> slices_;
};

}  // namespace damasktack

#endif  // POLICY_RETRY_WINDOW_H_
