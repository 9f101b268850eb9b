#include "contract/route.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

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

}  // namespace
}  // namespace damasktack
