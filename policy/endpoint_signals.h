#ifndef POLICY_ENDPOINT_SIGNALS_H_
#define POLICY_ENDPOINT_SIGNALS_H_

#include <optional>

#include "core/time.h"

namespace damasktack {

// Flow control signals in an endpoint's answer, besides its load.
struct EndpointSignals {
  // Limit in requests a second from all hosts together; null if the answer
  // states none.
  std::optional<double> rate_limit = std::nullopt;
  // The endpoint asks this host to send no request for this long.
  std::optional<Duration> rest = std::nullopt;
  // The endpoint is leaving: it takes no further calls, and only a new process
  // may return.
  bool leaving = false;

  bool operator==(const EndpointSignals&) const = default;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_SIGNALS_H_
