#include "fleet/route_messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "fleet/peer_codec.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

// Names are never empty.
std::string AnyText() {
  return *rc::gen::nonEmpty(rc::gen::arbitrary<std::string>());
}

Route AnyRoute() {
  Route route;
  route.host = AnyText();
  route.prefix = AnyText();
  route.idempotent = *rc::gen::arbitrary<bool>();
  route.timeout = milliseconds(*rc::gen::inRange(1, 100'000));
  route.latency_objective = milliseconds(*rc::gen::inRange(1, 100'000));
  route.attempt_limit = *rc::gen::inRange(1, 100);
  route.urgency = static_cast<Urgency>(*rc::gen::inRange(0, 3));
  route.contract.customer = CustomerId(AnyText());
  route.contract.retry_percent = *rc::gen::inRange(0, 100);
  const int regions = *rc::gen::inRange(0, 3);
  for (int n = 0; n < regions; ++n) {
    route.allowed_regions.emplace_back(AnyText());
  }
  const int targets = *rc::gen::inRange(0, 4);
  for (int n = 0; n < targets; ++n) {
    route.targets.push_back({ServiceId(AnyText()), *rc::gen::inRange(0, 100)});
  }
  return route;
}

std::vector<Route> AnyRoutes() {
  std::vector<Route> routes;
  const int count = *rc::gen::inRange(0, 5);
  for (int n = 0; n < count; ++n) {
    routes.push_back(AnyRoute());
  }
  return routes;
}

std::optional<PeerMessage> Passed(const PeerMessage& message) {
  std::optional<PeerMessage> got;
  const auto fault = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(got, DecodePeerMessage(EncodePeerMessage(message)));
    return {};
  });
  CAPTURE(fault ? ToString(*fault) : "");
  CHECK(!fault);
  return got;
}

PeerMessage UpdateWith(PublishedValue value) {
  FeedUpdate update;
  update.changes.current = 9;
  update.changes.items.push_back({9, std::move(value)});
  return update;
}

TEST_CASE("books and steps between them pass from host to host unchanged") {
  CHECK(rc::check([] {
    RouteTable book;
    book.version = *rc::gen::inRange<std::uint64_t>(1, 1000);
    book.routes = AnyRoutes();
    book.services = {{ServiceId("s"), "/h", 7, milliseconds(1500), 2.5}};
    book.limits.idle_timeout = milliseconds(*rc::gen::inRange(1, 1000));
    const PeerMessage whole = UpdateWith(book);
    RC_ASSERT(Passed(whole) == whole);

    RouteTableDelta change;
    change.base_version = 1;
    change.version = 2;
    change.changed = AnyRoutes();
    change.removed = {{AnyText(), "/x/"}};
    change.services = book.services;
    change.limits = book.limits;
    const PeerMessage step = UpdateWith(change);
    RC_ASSERT(Passed(step) == step);
  }));
}

// A book that grows beyond what one message may hold: hosts would learn of no
// change by their feeders any more, and all of them would ask the store.
TEST_CASE("a book of 3,500 routes fits into one message") {
  RouteTable book;
  book.version = 1;
  for (int n = 0; n < 3500; ++n) {
    Route route;
    route.host = "host-" + std::to_string(n % 50) + ".example";
    route.prefix = "/a-path-of-some-length/" + std::to_string(n) + "/";
    route.contract.customer = CustomerId("route-" + std::to_string(n));
    route.targets = {{ServiceId("one-service"), 90},
                     {ServiceId("another-service"), 10}};
    book.routes.push_back(std::move(route));
  }
  const PeerMessage whole = UpdateWith(book);
  CHECK(EncodePeerMessage(whole).size() < 400'000);
  CHECK(Passed(whole) == whole);
}

}  // namespace
}  // namespace damasktack
