#ifndef POLICY_ENDPOINT_REPORT_H_
#define POLICY_ENDPOINT_REPORT_H_

#include <cstdint>
#include <optional>

#include "core/time.h"

namespace damasktack {

enum class EndpointMode : std::uint8_t { kStarting, kServing, kDraining };

// What an endpoint says of itself, on an answer or when probed. Already old
// when it arrives, and not always true.
struct EndpointReport {
  // When this host learned it, by this host's clock.
  TimePoint received_at;
  // How long before that it was asked for. The endpoint counted in between.
  Duration asked_before{};
  // Calls being worked on, from every host.
  std::int32_t in_flight = 0;
  // Calls accepted and waiting for a slot there.
  std::int32_t queued = 0;
  std::int32_t slots = 1;
  EndpointMode mode = EndpointMode::kServing;
  // How long work takes there at the moment, by the usual time.
  double pace = 1;
  // How much longer it stays cold; null where it does not say.
  std::optional<Duration> cold_for;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_REPORT_H_
