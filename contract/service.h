#ifndef CONTRACT_SERVICE_H_
#define CONTRACT_SERVICE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"

namespace damasktack {

// State of an endpoint or a host in the platform's list, which lags behind.
enum class ListedState : std::uint8_t { kLive, kLeaving };
std::string_view ToString(ListedState state);

// Start time of an endpoint's process by its own clock. Distinguishes processes
// that use the same ID one after the other. The default means that the start
// time is not published; it sorts before all others.
using EndpointStart = std::chrono::sys_time<std::chrono::milliseconds>;

// One server of a service as published by the platform.
struct EndpointSpec {
  EndpointId id;
  SocketAddress address;
  ZoneId zone;
  // Region of the zone; empty if the host's settings do not define it.
  RegionId region;
  // Maximum number of calls that it processes concurrently.
  std::int64_t slots = 1;
  // Maximum connections that it accepts from the whole fleet.
  std::int64_t connections = 250;
  ListedState state = ListedState::kLive;
  EndpointStart started_at{};
  // Whether the operator has drained the endpoint's zone.
  bool zone_drained = false;
  // End of the published warm-up by this host's clock.
  TimePoint cold_until{};

  // Returns whether the published state allows new calls to this endpoint.
  bool AcceptsNewCalls() const {
    return state == ListedState::kLive && !zone_drained;
  }

  bool operator==(const EndpointSpec&) const = default;
  // Returns whether both refer to the same process, so that measurements of one
  // apply to the other. A process that was restarted or moved starts out idle
  // and cold.
  bool IsSameProcess(const EndpointSpec& other) const {
    return id == other.id && address == other.address &&
           started_at == other.started_at;
  }
};

// What the routes that send requests to a service have in common.
struct RouteMix {
  // Number of different urgencies.
  std::size_t urgencies = 1;
  // Whether the routes have different latency objectives.
  bool has_mixed_objectives = false;

  bool operator==(const RouteMix&) const = default;
};

// One service: requests whose path starts with `prefix` are sent to its
// endpoints.
struct ServiceSpec {
  ServiceId id;
  std::string prefix;
  // Load probes per second that all hosts together may send to this service.
  double probes_per_second = 0;
  // Whether endpoints echo the header Damasktack-Call in their responses. A
  // response with another call's ID, or with none, is then rejected.
  bool echoes_call = false;
  // Path that probes request.
  std::string health_path = "/load";
  // See ServiceTraits.
  Duration cold_time{};
  double cold_rate = 0;
  // Derived from the routes; not part of the published service.
  RouteMix route_mix;
  std::vector<EndpointSpec> endpoints;

  bool operator==(const ServiceSpec&) const = default;
};

leaf::result<ServiceSpec> ParseService(const Json& json,
                                       const std::string& path);
Json ToJson(const ServiceSpec& service);

// One load balancer host of the fleet as published by the platform.
struct HostSpec {
  HostId id;
  // Address at which peers connect to the host.
  SocketAddress peer_address;
  ZoneId zone;
  ListedState state = ListedState::kLive;

  bool operator==(const HostSpec&) const = default;
};

leaf::result<HostSpec> ParseHost(const Json& json, const std::string& path);
Json ToJson(const HostSpec& host);

}  // namespace damasktack

#endif  // CONTRACT_SERVICE_H_
