#ifndef POLICY_EXECUTION_PROFILE_H_
#define POLICY_EXECUTION_PROFILE_H_

#include <array>
#include <cstddef>

#include "core/time.h"

namespace damasktack {

// Learns how long executions of one service take, depending on how full the
// endpoint is when they begin.
//
// Made for servers that keep a constant speed until they are nearly full, and
// then slow down considerably, more so with each further call. A balancer that
// underestimates the slowdown fills the near endpoints while others, a
// millisecond away, have a single call.
class ExecutionProfile {
 public:
  // Sets the assumed execution time until the first answer.
  void Guess(Duration usual);
  bool is_known() const { return usual_ > Duration::zero(); }

  // Records an execution that took `took` at an endpoint of usual pace. At its
  // start, `fill` of the endpoint's slots were in use, including its own.
  // Executions with `fill` above 1 waited in a queue and are ignored.
  void OnExecution(double fill, Duration took);

  // Returns the execution time at an endpoint that is hardly used.
  Duration usual() const { return usual_; }
  // Returns the factor by which an execution takes longer if this fraction of
  // the slots is in use, including its own. It is at least 1 and does not
  // decrease with `fill`.
  double Slowdown(double fill) const;

 private:
  static constexpr std::size_t kQuarters = 4;
  static std::size_t QuarterOf(double fill);

  Duration usual_{};
  // Slowdown by quarter of the slots in use. The first two are 1 by definition,
  // since they define the usual time.
  std::array<double, kQuarters> slowdown_ = {1, 1, 1, 1.15};
};

}  // namespace damasktack

#endif  // POLICY_EXECUTION_PROFILE_H_
