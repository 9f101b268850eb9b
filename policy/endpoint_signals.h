#ifndef POLICY_ENDPOINT_SIGNALS_H_
#define POLICY_ENDPOINT_SIGNALS_H_

#include <optional>

#include "core/time.h"

namespace damasktack {

// What an endpoint's answer says of the requests that it wants, beside its
// load.
struct EndpointSignals {
  // Requests a second that it takes from all hosts together; null where the
  // answer states no limit.
  std::optional<double> rate_limit = std::nullopt;
  // It wants no request from this host for so long.
  std::optional<Duration> rest = std::nullopt;
  // It is leaving: no further call, and only another process comes back.
  bool leaving = false;

  bool operator==(const EndpointSignals&) const = default;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_SIGNALS_H_
