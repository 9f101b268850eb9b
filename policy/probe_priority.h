#ifndef POLICY_PROBE_PRIORITY_H_
#define POLICY_PROBE_PRIORITY_H_

#include "core/time.h"
#include "policy/endpoint_record.h"

namespace damasktack {

// What the worth of a probe depends on besides the endpoint.
struct ProbeContext {
  // The time in which a report loses its worth; see LoadPrior.
  Duration relaxation{};
  // Whether this host has sent calls to the service of late.
  bool busy = false;
  TimePoint now;
};

// How much a probe of the endpoint is wanted: 0 is not at all, more goes
// first. Reports that come on answers cost nothing, so only an endpoint from
// which none came for a while is worth one; and nothing is, twice at a time.
double ProbePriority(const EndpointRecord& record, const ProbeContext& context);

}  // namespace damasktack

#endif  // POLICY_PROBE_PRIORITY_H_
