#ifndef POLICY_ENDPOINT_REPORT_H_
#define POLICY_ENDPOINT_REPORT_H_

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace damasktack {

enum class EndpointMode : std::uint8_t { kStarting, kServing, kDraining };

// State that an endpoint reports of itself, in an answer to a call or to a
// probe. It is outdated on arrival and may be wrong.
struct EndpointReport {
  // Time at which this host received it, by this host's clock.
  TimePoint received_at;
  // Time from the request for the report to its arrival. The endpoint took the
  // figures in between.
  Duration asked_before{};
  // Calls being executed, from all hosts.
  std::int32_t in_flight = 0;
  // Calls accepted and waiting for a slot there.
  std::int32_t queued = 0;
  std::int32_t slots = 1;
  EndpointMode mode = EndpointMode::kServing;
  // Current execution time divided by the usual one.
  double pace = 1;
  // Remaining time for which the endpoint stays cold; null if not stated.
  std::optional<Duration> cold_for;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_REPORT_H_
