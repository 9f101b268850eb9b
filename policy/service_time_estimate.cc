#include "policy/service_time_estimate.h"

#include <algorithm>

namespace damasktack {

namespace {

// Weight of a new sample in the mean.
constexpr double kSampleWeight = 1.0 / 32;
// Relative step of the quantile for each sample. Steps up and down balance if
// one sample in ten is below the quantile.
constexpr double kStep = 0.05;
constexpr double kQuantile = 0.1;
constexpr double kRefusalFactor = 0.99;

Duration FromCount(double nanoseconds) {
  return Duration(static_cast<Duration::rep>(nanoseconds));
}

}  // namespace

void ServiceTimeEstimate::Learn(Duration took) {
  const auto sample =
      static_cast<double>(std::max<Duration::rep>(took.count(), 1));
  if (mean_ == 0) {
    mean_ = sample;
    least_ = sample;
    return;
  }
  mean_ += (sample - mean_) * kSampleWeight;
  least_ *=
      sample < least_ ? 1 - kStep * (1 - kQuantile) : 1 + kStep * kQuantile;
}

void ServiceTimeEstimate::OnRefusal() {
  least_ *= kRefusalFactor;
}

Duration ServiceTimeEstimate::Least() const {
  return FromCount(least_);
}

Duration ServiceTimeEstimate::Mean() const {
  return FromCount(mean_);
}

}  // namespace damasktack
