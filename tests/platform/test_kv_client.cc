#include "platform/kv_client.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>

#include "platform/kv_codec.h"
#include "platform/standin/standin_store.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kBook =
    R"({"version":7,
"routes":{"columns":["name","host","prefix","kind","timeout_ms",
  "target_latency_ms","priority","max_attempts","split","service","later",
  "allowed_regions"],
 "rows":[
  ["r-1","a.example","/x/","safe",1200,400,2,3,
   [{"service":"s","weight":90},{"service":"t","weight":10}],null,1,
   ["north","south"]],
  ["r-2","b.example","/","unsafe",1500,null,1,null,null,"s",null,null]]},
"services":{"columns":["name","health_path","max_conns","protocol","tls",
  "cold_s","cold_per_s"],
 "rows":[["s","/health",260,"h1",false,1.5,2],
  ["t",null,null,null,null,null,null]]},
"limits":{"max_header_bytes":16384,
 "max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"of-a-later-version":{"columns":[],"rows":[]}})";

constexpr auto kEndpoint =
    R"({"address":"10.128.0.9:8080","info":{"service":"s","version":"v1",
"zone":"z","slots":6},"status":{"state":"draining","sequence":4,
"cold_ms":900},"later":true})";

std::string Cbor(const std::string& json) {
  std::string bytes;
  Json::to_cbor(Json::parse(json), bytes);
  return bytes;
}

template <typename Body>
std::optional<Error> Fault(Body body) {
  return CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(body());
    return {};
  });
}

template <typename Value, typename Body>
Value Require(Body body) {
  Value value{};
  const auto fault = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(value, body());
    return {};
  });
  if (fault) {
    FAIL(ToString(*fault));
  }
  return value;
}

TEST_CASE("a published book is decoded into the product's own types") {
  const auto book =
      Require<RouteTable>([] { return DecodeRouteTable(Cbor(kBook)); });
  CHECK(book.version == 7);
  REQUIRE(book.routes.size() == 2);
  const Route& safe = book.routes[0];
  CHECK(safe.idempotent);
  CHECK(safe.timeout == milliseconds(1200));
  CHECK(safe.latency_objective == milliseconds(400));
  CHECK(safe.attempt_limit == 3);
  CHECK(safe.allowed_regions ==
        std::vector<RegionId>{RegionId("north"), RegionId("south")});
  CHECK(book.routes[1].allowed_regions.empty());
  CHECK(safe.targets ==
        std::vector<RouteTarget>{{ServiceId("s"), 90}, {ServiceId("t"), 10}});
  // Both routes go to s, and the other one has the higher rank.
  CHECK(safe.urgency == Urgency::kNormal);
  CHECK(book.routes[1].urgency == Urgency::kUrgent);
  CHECK(!book.routes[1].idempotent);
  CHECK(book.routes[1].latency_objective == milliseconds(1500));
  CHECK(book.services[0].connections == 260);
  CHECK(book.services[0].cold_time == milliseconds(1500));
  CHECK(book.services[0].cold_rate == 2);
  CHECK(book.services[1].cold_rate == 0);
  CHECK(book.limits.body_bytes == 1000);
  CHECK(book.limits.idle_timeout == seconds(15));
  CHECK(!Fault([&] { return CheckRouteTable(book); }));
}

TEST_CASE("a published endpoint is decoded") {
  const auto endpoint = Require<PublishedEndpoint>(
      [] { return DecodeEndpoint("i-1", Cbor(kEndpoint)); });
  CHECK(endpoint.service == ServiceId("s"));
  CHECK(endpoint.spec.id == EndpointId("i-1"));
  CHECK(endpoint.spec.slots == 6);
  CHECK(endpoint.spec.state == ListedState::kLeaving);
  CHECK(endpoint.cold_for == milliseconds(900));
}

TEST_CASE("values that are cut, of a wrong type or incomplete are refused") {
  const std::string book = kBook;
  const std::string endpoint = kEndpoint;
  const auto without = [](std::string text, const std::string& part) {
    return text.erase(text.find(part), part.size());
  };
  const auto with = [](std::string text, const std::string& part,
                       const std::string& other) {
    return text.replace(text.find(part), part.size(), other);
  };
  for (const std::string& it :
       {std::string("[]"), without(book, R"("version":7,)"),
        without(book, R"(1200,400,)"), with(book, "1200", "-1"),
        with(book, "1200", "null"), with(book, "90", R"("many")"),
        with(book, R"("routes")", R"("other")"),
        with(book, R"("services":{)", R"("other":{)"),
        with(book, R"("rows")", R"("lines")"),
        with(book, R"("columns")", R"("names")")}) {
    CAPTURE(it);
    const auto fault = Fault([&] { return DecodeRouteTable(Cbor(it)); });
    REQUIRE(fault);
    CHECK(!fault->remedy.empty());
  }
  for (const std::string& it :
       {with(endpoint, R"("state")", R"("other")"),
        without(endpoint, R"("slots":6)"),
        with(endpoint, "10.128.0.9:8080", "nowhere"),
        with(endpoint, R"("slots":6)", R"("slots":0)")}) {
    CAPTURE(it);
    CHECK(Fault([&] { return DecodeEndpoint("i-1", Cbor(it)); }));
  }
}

TEST_CASE("values cut at any byte are refused, and ones of endless nesting") {
  for (const std::string& whole : {Cbor(kBook), Cbor(kEndpoint)}) {
    for (std::size_t n = 0; n < whole.size(); ++n) {
      CAPTURE(n);
      CHECK(Fault([&] { return DecodeRouteTable(whole.substr(0, n)); }));
      CHECK(Fault([&] { return DecodeEndpoint("i", whole.substr(0, n)); }));
    }
  }
  // One-element lists inside each other, and texts of unknown length: the JSON
  // library reads both by recursion.
  for (const char it : {'\x81', '\x7f'}) {
    const std::string deep(1U << 20U, it);
    CHECK(Fault([&] { return DecodeRouteTable(deep); }));
    CHECK(Fault([&] { return DecodeKvPage(deep); }));
  }
}

TEST_CASE("a book that could not be followed is refused as a whole") {
  const auto broken = [](auto change) {
    auto book =
        Require<RouteTable>([] { return DecodeRouteTable(Cbor(kBook)); });
    change(book);
    return Fault([&] { return CheckRouteTable(book); }).has_value();
  };
  CHECK(broken([](RouteTable& it) { it.routes[0].prefix = "x/"; }));
  CHECK(broken([](RouteTable& it) { it.routes[0].prefix = "/x"; }));
  CHECK(broken([](RouteTable& it) { it.routes[0].host.clear(); }));
  CHECK(broken([](RouteTable& it) { it.routes[0].targets.clear(); }));
  CHECK(broken([](RouteTable& it) { it.services.clear(); }));
  CHECK(broken([](RouteTable& it) { it.version = 0; }));
}

TEST_CASE("all pages are read, and one bad value costs only itself") {
  StandinStore store(2);
  store.PutJson("op/config", kBook);
  for (int n = 0; n < 5; ++n) {
    store.PutJson("servers/i-" + std::to_string(n), kEndpoint);
  }
  store.Put("servers/bad", "{");
  store.Put("other/key", "?");
  KvClient client({"127.0.0.1", store.port()});
  const auto all =
      Require<PublishedItems>([&] { return client.ReadAll(seconds(2)); });
  CHECK(all.current == 8);
  REQUIRE(all.items.size() == 7);
  const auto unreadable = std::ranges::count_if(all.items, [](const auto& it) {
    return std::holds_alternative<UnusableEndpoint>(it.value) &&
           std::get<UnusableEndpoint>(it.value).id == EndpointId("bad");
  });
  CHECK(unreadable == 1);
}

// Requests reach a zone that is drained: the drain's key is there, and nobody
// looks at it. Whatever stands under the key, it drains the zone it names; one
// that names none costs only itself, and the end of a drain is an event.
TEST_CASE("drains of zones are read, in parts and by watches too") {
  StandinStore store(2);
  store.PutJson("op/config", kBook);
  store.PutJson("op/evacuate/evora-a", "{}");
  store.Put("op/evacuate/beja-b", "?");
  store.PutJson("op/evacuate/", "{}");
  store.PutJson("op/evacuate/a b", "{}");
  KvClient client({"127.0.0.1", store.port()});
  const auto drained = [](const PublishedItems& items, const char* zone) {
    const ZoneDrain wanted{ZoneId(zone), true};
    return std::ranges::any_of(items.items, [&](const PublishedItem& it) {
      return it.value == PublishedValue(wanted);
    });
  };
  const auto all =
      Require<PublishedItems>([&] { return client.ReadAll(seconds(2)); });
  const auto part =
      Require<PublishedItems>([&] { return client.ReadPart(seconds(2)); });
  for (const PublishedItems& it : {all, part}) {
    CHECK(it.items.size() == 5);
    CHECK(drained(it, "evora-a"));
    CHECK(drained(it, "beja-b"));
    CHECK(std::ranges::count_if(it.items, [](const PublishedItem& item) {
            return std::holds_alternative<UnreadableValue>(item.value);
          }) == 2);
  }
  store.Remove("op/evacuate/evora-a");
  const auto events = Require<PublishedItems>(
      [&] { return client.Watch(all.current, seconds(2)); });
  REQUIRE(events.items.size() == 1);
  CHECK(events.items[0].value ==
        PublishedValue(ZoneDrain{ZoneId("evora-a"), false}));
}

// A host that has just started is to serve by a part of what is published.
TEST_CASE("a part holds the routes and the endpoints of one digit") {
  StandinStore store(4);
  store.PutJson("op/config", kBook);
  for (const char digit : std::string("0123456789abcdef")) {
    for (int n = 0; n < 5; ++n) {
      const std::string id = std::string("i-") + digit + std::to_string(n);
      store.PutJson("servers/" + id, kEndpoint);
    }
  }
  KvClient client({"127.0.0.1", store.port()});
  const auto part =
      Require<PublishedItems>([&] { return client.ReadPart(seconds(2)); });
  CHECK(part.current == 81);
  REQUIRE(part.items.size() == 6);
  CHECK(std::holds_alternative<RouteTable>(part.items[0].value));
  const auto id = [&](std::size_t n) {
    return std::get<PublishedEndpoint>(part.items[n].value).spec.id.text();
  };
  CHECK(id(1).substr(0, 3) == id(5).substr(0, 3));
  const auto all =
      Require<PublishedItems>([&] { return client.ReadEndpoints(seconds(2)); });
  CHECK(all.items.size() == 80);
}

TEST_CASE("a watch tells of changes and removals, and ends without any") {
  StandinStore store;
  store.PutJson("servers/i-1", kEndpoint);
  KvClient client({"127.0.0.1", store.port()});
  std::thread later([&] {
    std::this_thread::sleep_for(milliseconds(30));
    store.Remove("servers/i-1");
  });
  const auto events =
      Require<PublishedItems>([&] { return client.Watch(1, seconds(5)); });
  later.join();
  REQUIRE(events.items.size() == 1);
  CHECK(std::get<RemovedEndpoint>(events.items[0].value).id ==
        EndpointId("i-1"));
  CHECK(events.current == 2);
  const auto none = Require<PublishedItems>(
      [&] { return client.Watch(2, milliseconds(30)); });
  CHECK(none.items.empty());
}

TEST_CASE("lost history, refusals and silence are told apart") {
  StandinStore store;
  store.PutJson("op/config", kBook);
  KvClient client({"127.0.0.1", store.port()});
  store.DropHistory();
  auto fault = Fault([&] { return client.Watch(1, milliseconds(20)); });
  REQUIRE(fault);
  CHECK(fault->kind == ErrorKind::kStale);
  for (const int status : {429, 503}) {
    store.SetErrorStatus(status);
    fault = Fault([&] { return client.ReadAll(seconds(1)); });
    REQUIRE(fault);
    CHECK(fault->kind == ErrorKind::kRefused);
  }
  store.SetErrorStatus(0);
  // The client is usable after each failure.
  CHECK(!Fault([&] { return client.ReadAll(seconds(1)); }));
  KvClient nobody({"127.0.0.1", 1});
  fault = Fault([&] { return nobody.ReadAll(seconds(1)); });
  REQUIRE(fault);
  CHECK(fault->kind == ErrorKind::kUnreachable);
}

}  // namespace
}  // namespace damasktack
