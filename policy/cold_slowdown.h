#ifndef POLICY_COLD_SLOWDOWN_H_
#define POLICY_COLD_SLOWDOWN_H_

#include "core/time.h"

namespace damasktack {

// How many times longer an execution takes at an endpoint of a service that
// has just started. Learnt from answers, since nobody publishes it.
//
// The load that it answers: hundreds of endpoints join at once, free and slow,
// and each host sends calls there that others would have ended on time.
class ColdSlowdown {
 public:
  double value() const { return value_; }

  // An execution took `took` where a warm endpoint would have taken `usual`.
  void OnExecution(Duration took, Duration usual);

 private:
  // Caches are empty and code is not yet compiled: twice as long is common.
  double value_ = 2;
};

}  // namespace damasktack

#endif  // POLICY_COLD_SLOWDOWN_H_
