#ifndef PROXY_RELAY_OPTIONS_H_
#define PROXY_RELAY_OPTIONS_H_

#include <cstdint>
#include <map>
#include <string>

#include "core/ids.h"
#include "core/json_reader.h"

namespace damasktack {

// Headers of calls that hosts relay to each other; removed before a call or an
// answer leaves the fleet.
inline constexpr char kRelayTokenHeader[] = "Damasktack-Relay-Token";
// The host that relays the call.
inline constexpr char kRelayFromHeader[] = "Damasktack-Relay-From";
// Sends of the call to endpoints before it was relayed.
inline constexpr char kRelaySendsHeader[] = "Damasktack-Relay-Sends";
// In an answer: the host did not take the call, and another one may.
inline constexpr char kRelayRefusedHeader[] = "Damasktack-Relay-Refused";

// How this host takes and relays calls.
struct RelayOptions {
  // Where peers connect; without a port, this host neither takes nor relays
  // calls.
  SocketAddress listen;
  // Names this host in the peers' logs.
  HostId host;
  // Proves that a call comes from a host of the fleet.
  std::string token;
  // Region of each zone.
  std::map<ZoneId, RegionId> regions;
  // Maximum number of relayed calls that this host works on at a time.
  std::int64_t max_calls = 64;

  bool enabled() const { return !listen.ip.empty(); }
};

}  // namespace damasktack

#endif  // PROXY_RELAY_OPTIONS_H_
