#ifndef CORE_TIME_H_
#define CORE_TIME_H_

#include <chrono>

namespace damasktack {

// Functions that make decisions take the current time as a parameter; only the
// outermost loops read the clock. The monotonic clock keeps running while a
// process is stopped, so that a process that resumes late can tell how long it
// was paused.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = std::chrono::nanoseconds;

}  // namespace damasktack

#endif  // CORE_TIME_H_
