#ifndef POLICY_ENDPOINT_PROCESS_H_
#define POLICY_ENDPOINT_PROCESS_H_

#include "contract/service.h"
#include "core/ids.h"

namespace damasktack {

// Identifies one process of an endpoint.
struct EndpointProcess {
  EndpointId id;
  EndpointStart started_at{};

  auto operator<=>(const EndpointProcess&) const = default;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_PROCESS_H_
