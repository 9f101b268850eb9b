#include "contract/route.h"

#include <algorithm>
#include <map>
#include <set>

namespace damasktack {

namespace {

bool IsService(const RouteTable& table, const ServiceId& id) {
  return std::ranges::any_of(
      table.services, [&](const ServiceTraits& it) { return it.id == id; });
}

leaf::result<void> CheckTargets(const RouteTable& table,
                                const Route& route,
                                const std::string& where) {
  std::int64_t sum = 0;
  for (const RouteTarget& it : route.targets) {
    if (!IsService(table, it.service)) {
      return Fail(ErrorKind::kUnknownReference, where,
                  "service " + it.service.text(),
                  "publish the service together with the route");
    }
    if (it.weight < 0) {
      return Fail(ErrorKind::kOutOfRange, where,
                  "weight " + std::to_string(it.weight),
                  "give each target a weight of 0 or more");
    }
    sum += it.weight;
  }
  if (sum <= 0) {
    return Fail(ErrorKind::kOutOfRange, where, "no target with a weight",
                "name at least one service with a weight above 0");
  }
  return {};
}

leaf::result<void> CheckRoute(const RouteTable& table, const Route& route) {
  const std::string where = "route " + route.contract.customer.text();
  if (route.host.empty()) {
    return Fail(ErrorKind::kMissingKey, where, "no host",
                "name the host that the route serves");
  }
  if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
    return Fail(ErrorKind::kOutOfRange, where, "prefix " + route.prefix,
                "begin and end the prefix with /");
  }
  if (route.timeout <= Duration::zero()) {
    return Fail(ErrorKind::kOutOfRange, where, "no timeout",
                "give the route a timeout above 0");
  }
  if (route.attempt_limit < 1) {
    return Fail(ErrorKind::kOutOfRange, where,
                std::to_string(route.attempt_limit) + " sends",
                "allow at least one send");
  }
  return CheckTargets(table, route, where);
}

}  // namespace

leaf::result<void> CheckRouteTable(const RouteTable& table) {
  if (table.version == 0) {
    return Fail(ErrorKind::kMissingKey, "route table", "no version",
                "publish a version above 0");
  }
  for (const Route& it : table.routes) {
    BOOST_LEAF_CHECK(CheckRoute(table, it));
  }
  return {};
}

void AssignUrgencies(RouteTable& table,
                     const std::vector<std::int64_t>& ranks) {
  // Collects the ranks that compete at each service first. Comparing each route
  // with every other one took half of the time in which a host reads a table of
  // 1,600 routes.
  std::map<ServiceId, std::set<std::int64_t>> ranks_at;
  for (std::size_t n = 0; n < table.routes.size(); ++n) {
    for (const RouteTarget& it : table.routes[n].targets) {
      ranks_at[it.service].insert(ranks[n]);
    }
  }
  for (std::size_t n = 0; n < table.routes.size(); ++n) {
    std::set<std::int64_t> higher_ranks;
    for (const RouteTarget& it : table.routes[n].targets) {
      const std::set<std::int64_t>& service_ranks = ranks_at[it.service];
      higher_ranks.insert(service_ranks.begin(),
                          service_ranks.lower_bound(ranks[n]));
    }
    const std::size_t urgency =
        std::min(higher_ranks.size(), kUrgencyCount - 1);
    table.routes[n].urgency = static_cast<Urgency>(urgency);
  }
}

std::map<ServiceId, RouteMix> FindRouteMixes(const RouteTable& table) {
  struct Seen {
    std::set<Urgency> urgencies;
    std::set<Duration> objectives;
  };
  std::map<ServiceId, Seen> seen;
  for (const Route& route : table.routes) {
    for (const RouteTarget& it : route.targets) {
      if (it.weight > 0) {
        seen[it.service].urgencies.insert(route.urgency);
        seen[it.service].objectives.insert(route.latency_objective);
      }
    }
  }
  std::map<ServiceId, RouteMix> mixes;
  for (const auto& [service, it] : seen) {
    mixes[service] = {it.urgencies.size(), it.objectives.size() > 1};
  }
  return mixes;
}

}  // namespace damasktack
