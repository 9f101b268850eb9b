#include "policy/retry_window.h"

namespace damasktack {

RetryWindow::Slice& RetryWindow::SliceAt(TimePoint now) {
  const std::int64_t number = NumberOf(now);
  Slice& slice = slices_[static_cast<std::size_t>(number) % slices_.size()];
  if (slice.number != number) {
    slice = Slice{number, 0, 0};
  }
  return slice;
}

bool RetryWindow::TrySpend(TimePoint now) {
  const std::int64_t number = NumberOf(now);
  std::int64_t first_sends = 0;
  std::int64_t retries = 0;
  for (const Slice& it : slices_) {
    first_sends += number - it.number < kSlices ? it.first_sends : 0;
    retries += number - it.number <= kSlices ? it.retries : 0;
  }
  const double allowed =
      fraction_ * static_cast<double>(first_sends) + share_ + rounding_;
  if (static_cast<double>(retries + 1) > allowed) {
    return false;
  }
  ++SliceAt(now).retries;
  return true;
}

}  // namespace damasktack
