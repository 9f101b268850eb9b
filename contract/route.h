#ifndef CONTRACT_ROUTE_H_
#define CONTRACT_ROUTE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "contract/contract.h"
#include "contract/service.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// One service that a route sends requests to, with its part of them.
struct RouteTarget {
  ServiceId service;
  // Relative to the other targets of the route; 0 means none.
  std::int64_t weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

// Requests for `host` whose path begins with `prefix`, where callers carry no
// key: the route itself names their contract.
struct Route {
  std::string host;
  // Begins and ends with '/'.
  std::string prefix;
  // Whether a request may run more than once.
  bool idempotent = false;
  // The longest that a caller is kept waiting.
  Duration timeout = std::chrono::seconds(10);
  // An answer within this time is on time.
  Duration latency_objective = std::chrono::seconds(1);
  // Endpoints that one request may be sent to, one after the other.
  int attempt_limit = 2;
  // Where its requests may be worked on; anywhere if there is none.
  std::vector<RegionId> allowed_regions;
  // At least one; their weights add up to more than 0.
  std::vector<RouteTarget> targets;
  // Share, urgency and treatment of the route's requests; the customer bears
  // the route's name.
  Contract contract;
  Urgency urgency = Urgency::kNormal;

  bool operator==(const Route&) const = default;
};

// What holds for all endpoints of a service.
struct ServiceTraits {
  ServiceId id;
  std::string health_path = "/health";
  // Connections that each endpoint accepts from the whole fleet.
  std::int64_t connections = 250;
  // How long an endpoint is cold after its start, and the calls a second that
  // it tolerates from the whole fleet meanwhile; 0 where there is no bound.
  Duration cold_time{};
  double cold_rate = 0;

  bool operator==(const ServiceTraits&) const = default;
};

// What a caller may send, and how long it may take or stay idle.
struct CallerLimits {
  std::int64_t header_bytes = 16 << 10;
  std::int64_t body_bytes = 1 << 20;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);

  bool operator==(const CallerLimits&) const = default;
};

// All routes as one version has them.
struct RouteTable {
  // Goes up with each change, in uneven steps.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceTraits> services;
  CallerLimits limits;

  bool operator==(const RouteTable&) const = default;
};

// Refuses a book that could not be followed: a prefix without its slashes, a
// route without a target, a target that is no service of the book, a timeout
// that is not above zero.
leaf::result<void> CheckRouteTable(const RouteTable& book);

// Sets each route's urgency by how its `ranks` entry (lower goes first)
// compares with those of the routes to the same services: requests compete
// only within a service.
void AssignUrgencies(RouteTable& book, const std::vector<std::int64_t>& ranks);

// One endpoint as the platform publishes it.
struct PublishedEndpoint {
  ServiceId service;
  // `spec.connections` is left at its default; the service's traits say it.
  EndpointSpec spec;
  // How much longer it stays slow after its start.
  Duration cold_for{};

  bool operator==(const PublishedEndpoint&) const = default;
};

}  // namespace damasktack

#endif  // CONTRACT_ROUTE_H_
