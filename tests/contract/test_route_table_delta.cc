#include "contract/route_table_delta.h"

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

RouteTable SortedByKey(RouteTable table) {
  std::ranges::sort(table.routes, [](const Route& a, const Route& b) {
    return std::tie(a.host, a.prefix) < std::tie(b.host, b.prefix);
  });
  return table;
}

RouteTable GenerateRouteTable(std::uint64_t version) {
  RouteTable table;
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
    const RouteTable base = GenerateRouteTable(3);
    const RouteTable table = GenerateRouteTable(8);
    const RouteTableDelta delta = DiffRouteTables(base, table);
    RC_ASSERT(ApplyChange(base, delta) == SortedByKey(table));
  }));
}

TEST_CASE("a delta contains only the routes that differ") {
  RouteTable base;
  for (int n = 0; n < 50; ++n) {
    base.routes.push_back(MakeRoute(n, 100));
  }
  RouteTable table = base;
  table.version = 2;
  table.routes[7].timeout = std::chrono::milliseconds(200);
  table.routes.erase(table.routes.begin());
  const RouteTableDelta delta = DiffRouteTables(base, table);
  REQUIRE(delta.changed.size() == 1);
  CHECK(delta.changed[0] == MakeRoute(7, 200));
  REQUIRE(delta.removed.size() == 1);
  CHECK(delta.removed[0] == RouteKey{"host-0", "/0/"});
}

}  // namespace
}  // namespace damasktack
