#ifndef POLICY_EXECUTION_PROFILE_H_
#define POLICY_EXECUTION_PROFILE_H_

#include <array>
#include <cstddef>

#include "core/time.h"

namespace damasktack {

// How long executions of one service take, by how full the endpoint is when
// one begins.
//
// The load that it answers: many servers work at their pace until they are
// nearly full and then slow down for good, each further call the more. A
// balancer that takes the slowdown for smaller fills the near endpoints up
// while others, a millisecond away, have one call.
class ExecutionProfile {
 public:
  // Before the first answer an execution is taken for this long.
  void Guess(Duration usual);
  bool is_known() const { return usual_ > Duration::zero(); }

  // An execution took `took` by the usual pace; it began when `fill` of the
  // endpoint's slots, its own included, were in use. Above 1 where calls
  // waited in a queue; those tell nothing here.
  void OnExecution(double fill, Duration took);

  // At an endpoint that is hardly used.
  Duration usual() const { return usual_; }
  // How much longer it takes when that part of the slots is in use, this one
  // included; 1 or more, and never less for a larger part.
  double Slowdown(double fill) const;

 private:
  static constexpr std::size_t kParts = 4;
  static std::size_t PartOf(double fill);

  Duration usual_{};
  // By quarter of the slots. The first two are 1 by definition: they are what
  // is usual.
  std::array<double, kParts> slowdown_ = {1, 1, 1, 1.15};
};

}  // namespace damasktack

#endif  // POLICY_EXECUTION_PROFILE_H_
