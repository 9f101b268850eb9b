#ifndef CONTRACT_ROUTE_H_
#define CONTRACT_ROUTE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "contract/contract.h"
#include "contract/service.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// One service that a route sends requests to, with its weight.
struct RouteTarget {
  ServiceId service;
  // Weight relative to the route's other targets; 0 means no traffic.
  std::int64_t weight = 1;

  bool operator==(const RouteTarget&) const = default;
};

// Matches requests for `host` whose path starts with `prefix`. Used where
// callers send no key: the route itself determines the contract.
struct Route {
  std::string host;
  // Starts and ends with '/'.
  std::string prefix;
  // Whether a request may run more than once.
  bool idempotent = false;
  // Maximum time until the caller gets a response.
  Duration timeout = std::chrono::seconds(10);
  // Latency objective: a response within this time counts as on time.
  Duration latency_objective = std::chrono::seconds(1);
  // Maximum number of endpoints that one request is sent to, one after the
  // other.
  int attempt_limit = 2;
  // Regions in which the route's requests may run; an empty list allows every
  // region.
  std::vector<RegionId> allowed_regions;
  // At least one target; the weights must add up to more than 0.
  std::vector<RouteTarget> targets;
  // Share, urgency and overload policy of the route's requests. The customer is
  // named after the route.
  Contract contract;
  Urgency urgency = Urgency::kNormal;

  bool operator==(const Route&) const = default;
};

// Properties shared by all endpoints of a service.
struct ServiceTraits {
  ServiceId id;
  std::string health_path = "/health";
  // Maximum connections that each endpoint accepts from the whole fleet.
  std::int64_t connections = 250;
  // Duration of an endpoint's warm-up after its start, and the calls per second
  // that it tolerates from the whole fleet meanwhile; 0 means no limit.
  Duration cold_time{};
  double cold_rate = 0;

  bool operator==(const ServiceTraits&) const = default;
};

// Limits on the size of a caller's request, on the time it takes and on idle
// connections.
struct CallerLimits {
  std::int64_t header_bytes = 16 << 10;
  std::int64_t body_bytes = 1 << 20;
  Duration header_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);

  bool operator==(const CallerLimits&) const = default;
};

// All routes of one published version.
struct RouteTable {
  // Increases with each change, not necessarily by 1.
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceTraits> services;
  CallerLimits limits;

  bool operator==(const RouteTable&) const = default;
};

// Validates a route table. Rejects a route without a host or whose prefix does
// not start and end with '/', a route without a target of positive weight, a
// target that is not a service of the table, a timeout that is not above 0, and
// a table without a version.
leaf::result<void> CheckRouteTable(const RouteTable& table);

// Sets each route's urgency from its entry in `ranks`, where a lower rank is
// served first. A rank is compared only with the ranks of routes to the same
// services, because requests compete only within a service.
void AssignUrgencies(RouteTable& table, const std::vector<std::int64_t>& ranks);

// Returns, for each service, what the routes that send requests to it have in
// common. Targets of weight 0 do not count.
std::map<ServiceId, RouteMix> FindRouteMixes(const RouteTable& table);

// One endpoint as published by the platform.
struct PublishedEndpoint {
  ServiceId service;
  // `spec.connections` keeps its default; the service's traits hold the value.
  EndpointSpec spec;
  // Remaining duration of the warm-up after the endpoint's start.
  Duration cold_for{};

  bool operator==(const PublishedEndpoint&) const = default;
};

}  // namespace damasktack

#endif  // CONTRACT_ROUTE_H_
