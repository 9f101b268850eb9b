#include "contract/route.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>
#include <vector>

namespace damasktack {
namespace {

bool ShareService(const Route& one, const Route& other) {
  return std::ranges::any_of(one.targets, [&](const RouteTarget& it) {
    return std::ranges::find(other.targets, it.service,
                             &RouteTarget::service) != other.targets.end();
  });
}

// Reference implementation: compares each route with every other one.
Urgency ReferenceUrgency(const RouteTable& table,
                         const std::vector<std::int64_t>& ranks,
                         std::size_t route) {
  std::set<std::int64_t> higher_ranks;
  for (std::size_t n = 0; n < table.routes.size(); ++n) {
    if (ranks[n] < ranks[route] &&
        ShareService(table.routes[n], table.routes[route])) {
      higher_ranks.insert(ranks[n]);
    }
  }
  return static_cast<Urgency>(std::min(higher_ranks.size(), kUrgencyCount - 1));
}

TEST_CASE("urgencies agree with a comparison of every pair of routes") {
  CHECK(rc::check([] {
    RouteTable table;
    std::vector<std::int64_t> ranks;
    const int routes = *rc::gen::inRange(0, 12);
    for (int n = 0; n < routes; ++n) {
      Route route;
      const int targets = *rc::gen::inRange(0, 3);
      for (int k = 0; k < targets; ++k) {
        const int service = *rc::gen::inRange(0, 4);
        route.targets.push_back({ServiceId(std::to_string(service)), 1});
      }
      table.routes.push_back(std::move(route));
      ranks.push_back(*rc::gen::inRange<std::int64_t>(0, 5));
    }
    AssignUrgencies(table, ranks);
    for (std::size_t n = 0; n < table.routes.size(); ++n) {
      RC_ASSERT(table.routes[n].urgency == ReferenceUrgency(table, ranks, n));
    }
  }));
}

// Guards against parts for competing routes that act at a service with one kind
// of calls, or because of a target that gets no traffic.
TEST_CASE("a service's route mix counts the routes that send to it") {
  RouteTable table;
  const auto add = [&](Urgency urgency, Duration objective,
                       std::vector<RouteTarget> targets) {
    Route route;
    route.urgency = urgency;
    route.latency_objective = objective;
    route.targets = std::move(targets);
    table.routes.push_back(std::move(route));
  };
  const ServiceId shared("shared");
  const ServiceId alone("alone");
  const std::chrono::milliseconds fast(150);
  const std::chrono::milliseconds slow(800);
  add(Urgency::kUrgent, fast, {{shared, 1}});
  add(Urgency::kNormal, slow, {{shared, 1}, {alone, 1}});
  add(Urgency::kBulk, fast, {{alone, 0}, {shared, 1}});
  const auto mixes = FindRouteMixes(table);
  CHECK(mixes.at(shared) == RouteMix{3, true});
  CHECK(mixes.at(alone) == RouteMix{1, false});
}

}  // namespace
}  // namespace damasktack
