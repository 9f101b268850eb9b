#ifndef CONTRACT_SERVICE_H_
#define CONTRACT_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"

namespace damasktack {

// What the platform's list says of an endpoint or a host. The list lags.
enum class ListedState : std::uint8_t { kLive, kLeaving };
std::string_view ToString(ListedState state);

// When an endpoint's process started, by its own clock: tells apart processes
// that bear one id after the other. The default stands for a start that is not
// published and comes before all others.
using EndpointStart = std::chrono::sys_time<std::chrono::milliseconds>;

// One server of a service, as published by the platform.
struct EndpointSpec {
  EndpointId id;
  SocketAddress address;
  ZoneId zone;
  // Of its zone; empty where this host's settings do not say.
  RegionId region;
  // Calls it works on at a time.
  std::int64_t slots = 1;
  // Connections it accepts from the whole fleet.
  std::int64_t connections = 250;
  ListedState state = ListedState::kLive;
  EndpointStart started_at{};
  // The operator has drained its zone.
  bool zone_drained = false;
  // Until when it is said to be cold, by this host's clock.
  TimePoint cold_until{};

  // Whether new calls may go there by what is published.
  bool AcceptsNewCalls() const {
    return state == ListedState::kLive && !zone_drained;
  }

  bool operator==(const EndpointSpec&) const = default;
  // Whether both speak of one process, so that what was measured of it holds.
  // One that has started again, or moved, is empty and cold.
  bool IsSameProcess(const EndpointSpec& other) const {
    return id == other.id && address == other.address &&
           started_at == other.started_at;
  }
};

// One service: requests whose path starts with `prefix` go to its endpoints.
struct ServiceSpec {
  ServiceId id;
  std::string prefix;
  // Load probes a second that all hosts together may send to this service.
  double probes_per_second = 0;
  // Set where endpoints repeat the header Damasktack-Call in their answers;
  // an answer that names another call, or none, is then refused.
  bool echoes_call = false;
  // What a probe asks for.
  std::string health_path = "/load";
  // As ServiceTraits has them.
  Duration cold_time{};
  double cold_rate = 0;
  std::vector<EndpointSpec> endpoints;

  bool operator==(const ServiceSpec&) const = default;
};

leaf::result<ServiceSpec> ParseService(const Json& json,
                                       const std::string& path);
Json ToJson(const ServiceSpec& service);

// One entry host of the fleet, as published by the platform.
struct HostSpec {
  HostId id;
  // Where its peers reach it.
  SocketAddress peer_address;
  ZoneId zone;
  ListedState state = ListedState::kLive;

  bool operator==(const HostSpec&) const = default;
};

leaf::result<HostSpec> ParseHost(const Json& json, const std::string& path);
Json ToJson(const HostSpec& host);

}  // namespace damasktack

#endif  // CONTRACT_SERVICE_H_
