#ifndef POLICY_EXECUTION_TIME_H_
#define POLICY_EXECUTION_TIME_H_

#include <optional>

#include "core/time.h"
#include "policy/endpoint_report.h"

namespace damasktack {

// Estimates how long a call held its endpoint's slot. A host sees the whole
// send: transit, the wait in the endpoint's queue, the execution, and transit
// back. Charging customers for all of it would favor those with long calls,
// since the wait is the same for all.
class ExecutionTime {
 public:
  // Returns the estimated time in the slot. `took` is the duration of the send,
  // `round_trip` the round-trip time. The result is at least a tenth of `took`,
  // whatever the endpoint reports.
  Duration Estimate(Duration took,
                    Duration round_trip,
                    const std::optional<EndpointReport>& report);

 private:
  // Calls that must end before a new call gets a slot, per slot.
  double ends_by_slot_ = 0;
  double mean_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_EXECUTION_TIME_H_
