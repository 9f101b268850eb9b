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

// Compares each route with every other.
Urgency NaiveUrgency(const RouteTable& book,
                     const std::vector<std::int64_t>& ranks,
                     std::size_t route) {
  std::set<std::int64_t> before;
  for (std::size_t n = 0; n < book.routes.size(); ++n) {
    if (ranks[n] < ranks[route] &&
        ShareService(book.routes[n], book.routes[route])) {
      before.insert(ranks[n]);
    }
  }
  return static_cast<Urgency>(std::min(before.size(), kUrgencyCount - 1));
}

TEST_CASE("ranks by service agree with comparing every pair of routes") {
  CHECK(rc::check([] {
    RouteTable book;
    std::vector<std::int64_t> ranks;
    const int routes = *rc::gen::inRange(0, 12);
    for (int n = 0; n < routes; ++n) {
      Route route;
      const int targets = *rc::gen::inRange(0, 3);
      for (int k = 0; k < targets; ++k) {
        const int service = *rc::gen::inRange(0, 4);
        route.targets.push_back({ServiceId(std::to_string(service)), 1});
      }
      book.routes.push_back(std::move(route));
      ranks.push_back(*rc::gen::inRange<std::int64_t>(0, 5));
    }
    AssignUrgencies(book, ranks);
    for (std::size_t n = 0; n < book.routes.size(); ++n) {
      RC_ASSERT(book.routes[n].urgency == NaiveUrgency(book, ranks, n));
    }
  }));
}

}  // namespace
}  // namespace damasktack
