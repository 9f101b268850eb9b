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

}  // namespace damasktack

#endif  // POLICY_SCALED_TIME_H_
