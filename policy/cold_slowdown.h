#ifndef POLICY_COLD_SLOWDOWN_H_
#define POLICY_COLD_SLOWDOWN_H_

#include "core/time.h"

namespace damasktack {

// Estimates how many times longer an execution takes at an endpoint that has
// just started. It is learned from answers, since no source publishes it.
//
// Made for hundreds of endpoints that join at once, free but slow: each host
// sent calls there that other endpoints would have completed on time.
class ColdSlowdown {
 public:
  double value() const { return value_; }

  // Records an execution that took `took`, where a warm endpoint would have
  // taken `usual`.
  void OnExecution(Duration took, Duration usual);

 private:
  // Starts at 2: with empty caches and code that is not compiled yet,
  // executions commonly take twice as long.
  double value_ = 2;
};

}  // namespace damasktack

#endif  // POLICY_COLD_SLOWDOWN_H_
