#ifndef POLICY_SCALED_TIME_H_
#define POLICY_SCALED_TIME_H_

#include "core/time.h"

namespace damasktack {

// Returns `time` multiplied by `factor`.
inline Duration Scaled(Duration time, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::nano>(
          static_cast<double>(time.count()) * factor));
}

// Returns `time` divided by `unit`; 1 if `unit` is zero.
inline double Ratio(Duration time, Duration unit) {
  return unit == Duration::zero() ? 1
                                  : static_cast<double>(time.count()) /
                                        static_cast<double>(unit.count());
}

}  // namespace damasktack

#endif  // POLICY_SCALED_TIME_H_
