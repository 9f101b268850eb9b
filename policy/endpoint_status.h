#ifndef POLICY_ENDPOINT_STATUS_H_
#define POLICY_ENDPOINT_STATUS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// One endpoint as the administration API shows it.
struct EndpointStatus {
  EndpointId id;
  ZoneId zone;
  std::string state;
  // Why it is in that state.
  std::string reason;
  std::int32_t own_in_flight = 0;
  double estimated_in_flight = 0;
  std::int32_t slots = 1;
  // Age of the last report; negative where there was none.
  Duration report_age{-1};
  // Requests a second from all hosts that it has stated as its limit.
  std::optional<double> rate_limit = std::nullopt;
};

// An endpoint was taken out for failing, or let back.
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
  // Probes that would have been of use and had no budget.
  std::uint64_t probes_withheld = 0;
  // What the budget allows this host.
  double probes_per_second = 0;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_STATUS_H_
