#ifndef POLICY_ENDPOINT_SIGNALS_H_
#define POLICY_ENDPOINT_SIGNALS_H_

#include <optional>

namespace damasktack {

// What an endpoint's answer says of the requests that it wants, beside its
// load.
struct EndpointSignals {
  // Requests a second that it takes from all hosts together; null where the
  // answer states no limit.
  std::optional<double> rate_limit;

  bool operator==(const EndpointSignals&) const = default;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_SIGNALS_H_
