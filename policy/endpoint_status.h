#ifndef POLICY_ENDPOINT_STATUS_H_
#define POLICY_ENDPOINT_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// State of one endpoint, as the administration API shows it.
struct EndpointStatus {
  EndpointId id;
  ZoneId zone;
  std::string state;
  // Reason for the current state.
  std::string reason;
  std::int32_t own_in_flight = 0;
  double estimated_in_flight = 0;
  std::int32_t slots = 1;
  // Age of the last report; negative without a report.
  Duration report_age{-1};
  // Limit that the endpoint has stated, in requests a second from all hosts.
  std::optional<double> rate_limit = std::nullopt;
};

// An endpoint was ejected for failing, or returned from an ejection or a trial.
struct EndpointChange {
  EndpointId endpoint;
  std::string from;
  std::string to;
  std::string reason;
};

struct EndpointTableStatus {
  std::vector<EndpointStatus> endpoints;
  std::uint64_t probes_sent = 0;
  std::uint64_t probe_bytes = 0;
  // Probes that were needed but exceeded the budget.
  std::uint64_t probes_withheld = 0;
  // This host's share of the probe budget.
  double probes_per_second = 0;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_STATUS_H_
