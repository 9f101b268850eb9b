#include "policy/retry_window.h"

namespace damasktack {

RetryWindow::Slice& RetryWindow::SliceAt(TimePoint now) {
  const std::int64_t number = NumberOf(now);
  Slice& slice = slices_[static_cast<std::size_t>(number) % slices_.size()];
  if (slice.number != number) {
    slice = Slice{number, 0, 0, 0};
  }
  return slice;
}

bool RetryWindow::LeavesReserve(double reserve, TimePoint now) const {
  const std::int64_t number = NumberOf(now);
  std::int64_t first_sends = 0;
  std::int64_t retries = 0;
  for (const Slice& it : slices_) {
    first_sends += number - it.number < kSlices ? it.first_sends : 0;
    retries += number - it.number <= kSlices ? it.retries : 0;
  }
  const double allowed =
      fraction_ * static_cast<double>(first_sends) + share_ + rounding_;
  return static_cast<double>(retries + 1) <= (1 - reserve) * allowed;
}

bool RetryWindow::TrySpend(TimePoint now) {
  if (!LeavesReserve(0, now)) {
    return false;
  }
  ++SliceAt(now).retries;
  return true;
}

// Both counts are taken over the same slices, so that the limit can be used up:
// where a tenth of the answers is lost, every hedge counts.
bool RetryWindow::AllowsHedge(const HedgeShare& share, TimePoint now) const {
  const std::int64_t number = NumberOf(now);
  std::int64_t first_sends = 0;
  std::int64_t hedges = 0;
  for (const Slice& it : slices_) {
    if (number - it.number <= kSlices) {
      first_sends += it.first_sends;
      hedges += it.hedges;
    }
  }
  return static_cast<double>(hedges + 1) <=
         share.max_fraction * static_cast<double>(first_sends) + rounding_;
}

bool RetryWindow::TrySpendOnHedge(const HedgeShare& share, TimePoint now) {
  if (!AllowsHedge(share, now) || !LeavesReserve(share.reserve, now)) {
    return false;
  }
  ++SliceAt(now).retries;
  ++SliceAt(now).hedges;
  return true;
}

}  // namespace damasktack
