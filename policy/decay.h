#ifndef POLICY_DECAY_H_
#define POLICY_DECAY_H_

#include "core/time.h"

namespace damasktack {

// Returns the fraction of a quantity that remains after `age`: 1 at first,
// about 0.4 after one time constant, near 0 after many. Approximates exp(-x) by
// the first terms of its series, because one choice may need it for 510
// endpoints.
inline double Decay(Duration age, Duration time_constant) {
  if (age <= Duration::zero()) {
    return 1;
  }
  const double x = static_cast<double>(age.count()) /
                   static_cast<double>(time_constant.count());
  return 1 / (1 + x + 0.5 * x * x);
}

// A sum whose terms decay with their age.
class DecayingSum {
 public:
  explicit DecayingSum(Duration time_constant)
      : time_constant_(time_constant) {}

  void Add(double amount, TimePoint now) {
    value_ = Value(now) + amount;
    at_ = now;
  }
  double Value(TimePoint now) const {
    return value_ == 0 ? 0 : value_ * Decay(now - at_, time_constant_);
  }

 private:
  Duration time_constant_;
  double value_ = 0;
  TimePoint at_;
};

}  // namespace damasktack

#endif  // POLICY_DECAY_H_
