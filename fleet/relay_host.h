#ifndef FLEET_RELAY_HOST_H_
#define FLEET_RELAY_HOST_H_

#include <string>

#include "core/ids.h"
#include "core/json_reader.h"

namespace damasktack {

// A host that takes calls from peers that cannot reach a service's endpoints.
struct RelayHost {
  HostId host;
  ZoneId zone;
  // Where the host accepts relayed calls.
  SocketAddress address;

  Json ToJson() const;
  static leaf::result<RelayHost> Parse(const Json& json,
                                       const std::string& path);

  bool operator==(const RelayHost&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_RELAY_HOST_H_
