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

RouteTable SortedByName(RouteTable book) {
  std::ranges::sort(book.routes, [](const Route& a, const Route& b) {
    return std::tie(a.host, a.prefix) < std::tie(b.host, b.prefix);
  });
  return book;
}

RouteTable DrawBook(std::uint64_t version) {
  RouteTable book;
  book.version = version;
  book.services = {{ServiceId("s"), "/health", 250}};
  for (int n = 0; n < 9; ++n) {
    if (*rc::gen::arbitrary<bool>()) {
      book.routes.push_back(MakeRoute(n, *rc::gen::inRange(1, 4)));
    }
  }
  book.limits.body_bytes = *rc::gen::inRange(1, 3);
  return book;
}

TEST_CASE("the change between two books leads from one to the other") {
  CHECK(rc::check([] {
    const RouteTable base = DrawBook(3);
    const RouteTable book = DrawBook(8);
    const RouteTableDelta change = DiffRouteTables(base, book);
    RC_ASSERT(ApplyChange(base, change) == SortedByName(book));
  }));
}

TEST_CASE("a change names only what differs") {
  RouteTable base;
  for (int n = 0; n < 50; ++n) {
    base.routes.push_back(MakeRoute(n, 100));
  }
  RouteTable book = base;
  book.version = 2;
  book.routes[7].timeout = std::chrono::milliseconds(200);
  book.routes.erase(book.routes.begin());
  const RouteTableDelta change = DiffRouteTables(base, book);
  REQUIRE(change.changed.size() == 1);
  CHECK(change.changed[0] == MakeRoute(7, 200));
  REQUIRE(change.removed.size() == 1);
  CHECK(change.removed[0] == RouteKey{"host-0", "/0/"});
}

}  // namespace
}  // namespace damasktack
