#ifndef FLEET_LIMIT_OPTIONS_H_
#define FLEET_LIMIT_OPTIONS_H_

#include <chrono>

#include "core/time.h"

namespace damasktack {

// Settings for the division and lending of limits. They must be the same on
// every host of a fleet.
struct LimitOptions {
  // Duration of a lease on a borrowed share unless it is renewed.
  Duration lease = std::chrono::seconds(2);
  // Shares of in-flight limits are lent only for contracts whose deadlines are
  // at most this. A lender waits this long after the end of a lease before it
  // uses the share again, as calls may outlast the lease.
  Duration longest_call = std::chrono::minutes(1);
  // A counted host that is not on the host list and has been silent for this
  // long is reported to operators, who have to confirm that it has ended.
  Duration orphan_timeout = std::chrono::minutes(5);
  // Interval between updates of demand, leases and requests.
  Duration round_interval = std::chrono::milliseconds(50);
  // Interval after which an unanswered request is sent again.
  Duration resend_interval = std::chrono::milliseconds(250);
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_OPTIONS_H_
