#ifndef POLICY_REPEAT_WINDOW_H_
#define POLICY_REPEAT_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "core/time.h"

namespace damasktack {

// Repeats that one host of a fleet sends of one service, where all hosts
// together may send a part of the first sends of any window and a slack.
//
// The load that it answers: endpoints refuse half of what they get for some
// seconds. A host of a large fleet has one call a second, and its part of the
// slack is less than one repeat. What its calls earn stays good for as long as
// they count for the fleet, and parts are rounded up by some hosts and down by
// others, so that the sum is the fleet's at any number of hosts.
class RepeatWindow {
 public:
  static constexpr Duration kWindow = std::chrono::seconds(10);

  // `part` of the first sends; `rounding` from 0 to 1, drawn by each host.
  RepeatWindow(double part, double rounding)
      : part_(part), rounding_(rounding) {}

  // This host's part of the slack, in repeats.
  void SetShare(double share) { share_ = share; }
  void OnFirstSend(TimePoint now) { ++SliceAt(now).first_sends; }
  // False where nothing is left; then nothing is spent.
  bool TrySpend(TimePoint now);

 private:
  // The window in slices. Repeats count for one slice longer than first sends,
  // so that each window of the fleet's holds whatever its moment.
  static constexpr std::int64_t kSlices = 20;
  static constexpr Duration kSlice = kWindow / kSlices;

  struct Slice {
    std::int64_t number = -1;
    std::int64_t first_sends = 0;
    std::int64_t repeats = 0;
  };

  static std::int64_t NumberOf(TimePoint now) {
    return now.time_since_epoch() / kSlice;
  }
  Slice& SliceAt(TimePoint now);

  double part_;
  double rounding_;
  double share_ = 0;
  std::array<Slice, kSlices + 1> slices_;
};

}  // namespace damasktack

#endif  // POLICY_REPEAT_WINDOW_H_
