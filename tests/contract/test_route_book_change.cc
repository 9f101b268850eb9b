#include "contract/route_book_change.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace damasktack {
namespace {

Route MakeRoute(int name, int timeout_ms) {
  Route route;
  route.host = "host-" + std::to_string(name % 3);
  route.prefix = "/" + std::to_string(name) + "/";
  route.timeout = std::chrono::milliseconds(timeout_ms);
  route.targets = {{ServiceId("s"), 1}};
  route.contract.customer = CustomerId("route-" + std::to_string(name));
  return route;
}

RouteBook SortedByKey(RouteBook table) {
  std::ranges::sort(table.routes, [](const Route& a, const Route& b) {
    return std::tie(a.host, a.prefix) < std::tie(b.host, b.prefix);
  });
  return table;
}

RouteBook GenerateRouteTable(std::uint64_t version) {
  RouteBook table;
  table.version = version;
  table.services = {{ServiceId("s"), "/health", 250}};
  for (int n = 0; n < 9; ++n) {
    if (*rc::gen::arbitrary<bool>()) {
      table.routes.push_back(MakeRoute(n, *rc::gen::inRange(1, 4)));
    }
  }
  table.limits.body_bytes = *rc::gen::inRange(1, 3);
  return table;
}

TEST_CASE("applying the delta between two route tables yields the second one") {
  CHECK(rc::check([] {
    const RouteBook base = GenerateRouteTable(3);
    const RouteBook table = GenerateRouteTable(8);
    const RouteBookChange delta = CompareBooks(base, table);
    RC_ASSERT(ApplyChange(base, delta) == SortedByKey(table));
  }));
}

TEST_CASE("a delta contains only the routes that differ") {
  RouteBook base;
  for (int n = 0; n < 50; ++n) {
    base.routes.push_back(MakeRoute(n, 100));
  }
  RouteBook table = base;
  table.version = 2;
  table.routes[7].timeout = std::chrono::milliseconds(200);
  table.routes.erase(table.routes.begin());
  const RouteBookChange delta = CompareBooks(base, table);
  REQUIRE(delta.changed.size() == 1);
  CHECK(delta.changed[0] == MakeRoute(7, 200));
  REQUIRE(delta.removed.size() == 1);
  CHECK(delta.removed[0] == RouteKey{"host-0", "/0/"});
}

}  // namespace
}  // namespace damasktack
