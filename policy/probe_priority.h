#ifndef POLICY_PROBE_PRIORITY_H_
#define POLICY_PROBE_PRIORITY_H_

#include "core/time.h"
#include "policy/endpoint_record.h"

namespace damasktack {

// Inputs to the priority of a probe besides the endpoint.
struct ProbeContext {
  // Time constant with which a report loses its weight; see LoadPrior.
  Duration relaxation{};
  // Whether this host has sent calls to the service recently.
  bool busy = false;
  TimePoint now;
};

// Returns the priority of probing the endpoint; 0 means that no probe is
// needed. Reports on answers are free, so only an endpoint without a recent
// report is probed, and never while a probe is pending.
double ProbePriority(const EndpointRecord& record, const ProbeContext& context);

}  // namespace damasktack

#endif  // POLICY_PROBE_PRIORITY_H_
