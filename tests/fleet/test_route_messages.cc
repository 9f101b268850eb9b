#include "fleet/route_messages.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "fleet/peer_codec.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

// Names must not be empty.
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

std::optional<PeerMessage> RoundTrip(const PeerMessage& message) {
  std::optional<PeerMessage> received;
  const auto fault = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(received, DecodePeerMessage(EncodePeerMessage(message)));
    return {};
  });
  CAPTURE(fault ? ToString(*fault) : "");
  CHECK(!fault);
  return received;
}

PeerMessage UpdateWith(PublishedValue value) {
  FeedUpdate update;
  update.changes.current = 9;
  update.changes.items.push_back({9, std::move(value)});
  return update;
}

TEST_CASE("route tables and deltas are unchanged after encoding and decoding") {
  CHECK(rc::check([] {
    RouteTable table;
    table.version = *rc::gen::inRange<std::uint64_t>(1, 1000);
    table.routes = AnyRoutes();
    table.services = {{ServiceId("s"), "/h", 7, milliseconds(1500), 2.5}};
    table.limits.idle_timeout = milliseconds(*rc::gen::inRange(1, 1000));
    const PeerMessage whole = UpdateWith(table);
    RC_ASSERT(RoundTrip(whole) == whole);

    RouteTableDelta change;
    change.base_version = 1;
    change.version = 2;
    change.changed = AnyRoutes();
    change.removed = {{AnyText(), "/x/"}};
    change.services = table.services;
    change.limits = table.limits;
    const PeerMessage update = UpdateWith(change);
    RC_ASSERT(RoundTrip(update) == update);
  }));
}

// Guards against a route table that exceeds the message size: hosts would no
// longer receive changes from their feeders, and all of them would read the
// store.
TEST_CASE("a table of 3,500 routes fits into one message") {
  RouteTable table;
  table.version = 1;
  for (int n = 0; n < 3500; ++n) {
    Route route;
    route.host = "host-" + std::to_string(n % 50) + ".example";
    route.prefix = "/a-path-of-some-length/" + std::to_string(n) + "/";
    route.contract.customer = CustomerId("route-" + std::to_string(n));
    route.targets = {{ServiceId("one-service"), 90},
                     {ServiceId("another-service"), 10}};
    table.routes.push_back(std::move(route));
  }
  const PeerMessage whole = UpdateWith(table);
  CHECK(EncodePeerMessage(whole).size() < 400'000);
  CHECK(RoundTrip(whole) == whole);
}

}  // namespace
}  // namespace damasktack
