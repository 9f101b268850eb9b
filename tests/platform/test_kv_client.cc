#include "platform/kv_client.h"

#include <doctest/doctest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <utility>

#include "platform/kv_codec.h"
#include "platform/standin/standin_store.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kRouteTableJson =
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

constexpr auto kEndpointJson =
    R"({"address":"10.128.0.9:8080","info":{"service":"s","version":"v1",
"zone":"z","slots":6},"status":{"state":"draining","sequence":4,
"cold_ms":900},"later":true})";

std::string ToCbor(const std::string& json) {
  std::string bytes;
  Json::to_cbor(Json::parse(json), bytes);
  return bytes;
}

leaf::result<RouteTable> DecodeTable(std::string_view bytes) {
  std::vector<Error> adjusted;
  return DecodeRouteTable(bytes, adjusted);
}

template <typename Body>
std::optional<Error> ErrorOf(Body body) {
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

TEST_CASE("a published route table is decoded") {
  const auto route_table =
      Require<RouteTable>([] { return DecodeTable(ToCbor(kRouteTableJson)); });
  CHECK(route_table.version == 7);
  REQUIRE(route_table.routes.size() == 2);
  const Route& safe = route_table.routes[0];
  CHECK(safe.idempotent);
  CHECK(safe.timeout == milliseconds(1200));
  CHECK(safe.latency_objective == milliseconds(400));
  CHECK(safe.attempt_limit == 3);
  CHECK(safe.allowed_regions ==
        std::vector<RegionId>{RegionId("north"), RegionId("south")});
  CHECK(route_table.routes[1].allowed_regions.empty());
  CHECK(safe.targets ==
        std::vector<RouteTarget>{{ServiceId("s"), 90}, {ServiceId("t"), 10}});
  // Both routes target service s, and the other route has the higher priority.
  CHECK(safe.urgency == Urgency::kNormal);
  CHECK(route_table.routes[1].urgency == Urgency::kUrgent);
  CHECK(!route_table.routes[1].idempotent);
  CHECK(route_table.routes[1].latency_objective == milliseconds(1500));
  CHECK(route_table.services[0].connections == 260);
  CHECK(route_table.services[0].cold_time == milliseconds(1500));
  CHECK(route_table.services[0].cold_rate == 2);
  CHECK(route_table.services[1].cold_rate == 0);
  CHECK(route_table.limits.body_bytes == 1000);
  CHECK(route_table.limits.idle_timeout == seconds(15));
  CHECK(!ErrorOf([&] { return CheckRouteTable(route_table); }));
}

// Decodes a route of the kind; returns whether its requests may run again and
// what was logged.
std::pair<bool, std::string> DecodeKind(const std::string& kind) {
  std::ostringstream log;
  const auto before = spdlog::default_logger();
  spdlog::set_default_logger(std::make_shared<spdlog::logger>(
      "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(log)));
  std::string json = kRouteTableJson;
  const std::string safe = R"("safe")";
  json.replace(json.find(safe), safe.size(), '"' + kind + '"');
  const auto route_table =
      Require<RouteTable>([&] { return DecodeTable(ToCbor(json)); });
  spdlog::set_default_logger(before);
  return {route_table.routes[0].idempotent, log.str()};
}

// Guards against downloads that are not sent again after a lost answer.
TEST_CASE("downloads are idempotent") {
  const auto [is_idempotent, log] = DecodeKind("download");
  CHECK(is_idempotent);
  CHECK(log.empty());
}

// Guards against a kind of a later version whose requests run twice, or are
// never repeated without anyone noticing.
TEST_CASE("an unknown kind is not idempotent and is logged") {
  const auto [is_idempotent, log] = DecodeKind("later");
  CHECK(!is_idempotent);
  CHECK(log.find("event=route-kind-unknown route=r-1 kind=later") !=
        std::string::npos);
}

TEST_CASE("a published endpoint is decoded") {
  const auto endpoint = Require<PublishedEndpoint>(
      [] { return DecodeEndpoint("i-1", ToCbor(kEndpointJson)); });
  CHECK(endpoint.service == ServiceId("s"));
  CHECK(endpoint.spec.id == EndpointId("i-1"));
  CHECK(endpoint.spec.slots == 6);
  CHECK(endpoint.spec.state == ListedState::kLeaving);
  CHECK(endpoint.cold_for == milliseconds(900));
}

TEST_CASE("incomplete values and values of a wrong type are rejected") {
  const std::string route_table = kRouteTableJson;
  const std::string endpoint = kEndpointJson;
  const auto without = [](std::string text, const std::string& part) {
    return text.erase(text.find(part), part.size());
  };
  const auto with = [](std::string text, const std::string& part,
                       const std::string& other) {
    return text.replace(text.find(part), part.size(), other);
  };
  for (const std::string& it :
       {std::string("[]"), without(route_table, R"("version":7,)"),
        without(route_table, R"(1200,400,)"), with(route_table, "1200", "-1"),
        with(route_table, "1200", "null"), with(route_table, "90", R"("many")"),
        with(route_table, R"("routes")", R"("other")"),
        with(route_table, R"("services":{)", R"("other":{)"),
        with(route_table, R"("rows")", R"("lines")"),
        with(route_table, R"("columns")", R"("names")")}) {
    CAPTURE(it);
    const auto fault = ErrorOf([&] { return DecodeTable(ToCbor(it)); });
    REQUIRE(fault);
    CHECK(!fault->remedy.empty());
  }
  for (const std::string& it :
       {with(endpoint, R"("state")", R"("other")"),
        without(endpoint, R"("slots":6)"),
        with(endpoint, "10.128.0.9:8080", "nowhere"),
        with(endpoint, R"("slots":6)", R"("slots":0)")}) {
    CAPTURE(it);
    CHECK(ErrorOf([&] { return DecodeEndpoint("i-1", ToCbor(it)); }));
  }
}

TEST_CASE("truncated and deeply nested values are rejected") {
  for (const std::string& whole :
       {ToCbor(kRouteTableJson), ToCbor(kEndpointJson)}) {
    for (std::size_t n = 0; n < whole.size(); ++n) {
      CAPTURE(n);
      CHECK(ErrorOf([&] { return DecodeTable(whole.substr(0, n)); }));
      CHECK(ErrorOf([&] { return DecodeEndpoint("i", whole.substr(0, n)); }));
    }
  }
  // 0x81 opens a list of one element, and 0x7f a text of indefinite length. The
  // JSON library decodes both by recursion.
  for (const char it : {'\x81', '\x7f'}) {
    const std::string deep(1U << 20U, it);
    CHECK(ErrorOf([&] { return DecodeTable(deep); }));
    CHECK(ErrorOf([&] { return DecodeKvPage(deep); }));
  }
}

TEST_CASE(
    "a route table with an unusable route or service is rejected as a whole") {
  const auto is_rejected = [](auto change) {
    auto route_table = Require<RouteTable>(
        [] { return DecodeTable(ToCbor(kRouteTableJson)); });
    change(route_table);
    return ErrorOf([&] { return CheckRouteTable(route_table); }).has_value();
  };
  CHECK(is_rejected([](RouteTable& it) { it.routes[0].prefix = "x/"; }));
  CHECK(is_rejected([](RouteTable& it) { it.routes[0].prefix = "/x"; }));
  CHECK(is_rejected([](RouteTable& it) { it.routes[0].host.clear(); }));
  CHECK(is_rejected([](RouteTable& it) { it.routes[0].targets.clear(); }));
  CHECK(is_rejected([](RouteTable& it) { it.services.clear(); }));
  CHECK(is_rejected([](RouteTable& it) { it.version = 0; }));
}

TEST_CASE("all pages are read, and one bad value does not affect the others") {
  StandinStore store(2);
  store.PutJson("op/config", kRouteTableJson);
  for (int n = 0; n < 5; ++n) {
    store.PutJson("servers/i-" + std::to_string(n), kEndpointJson);
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

// Guards against sending requests to a drained zone because its drain key was
// ignored. The key alone drains the zone, whatever its value. A key without a
// valid zone name does not affect the others, and the end of a drain is
// reported as an event.
TEST_CASE("zone drains are read by full reads, partial reads and watches") {
  StandinStore store(2);
  store.PutJson("op/config", kRouteTableJson);
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
      [&] { return client.Watch(all.current.number, seconds(2)); });
  REQUIRE(events.items.size() == 1);
  CHECK(events.items[0].value ==
        PublishedValue(ZoneDrain{ZoneId("evora-a"), false}));
}

// A host that has just started serves with a partial read, before it has read
// everything.
TEST_CASE(
    "a partial read returns the routes and the endpoints of one hex digit") {
  StandinStore store(4);
  store.PutJson("op/config", kRouteTableJson);
  for (const char digit : std::string("0123456789abcdef")) {
    for (int n = 0; n < 5; ++n) {
      const std::string id = std::string("i-") + digit + std::to_string(n);
      store.PutJson("servers/" + id, kEndpointJson);
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

TEST_CASE("a watch returns changes and removals, or nothing at its timeout") {
  StandinStore store;
  store.PutJson("servers/i-1", kEndpointJson);
  KvClient client({"127.0.0.1", store.port()});
  std::thread remover([&] {
    std::this_thread::sleep_for(milliseconds(30));
    store.Remove("servers/i-1");
  });
  const auto events =
      Require<PublishedItems>([&] { return client.Watch(1, seconds(5)); });
  remover.join();
  REQUIRE(events.items.size() == 1);
  CHECK(std::get<RemovedEndpoint>(events.items[0].value).id ==
        EndpointId("i-1"));
  CHECK(events.current == 2);
  const auto none = Require<PublishedItems>(
      [&] { return client.Watch(2, milliseconds(30)); });
  CHECK(none.items.empty());
}

TEST_CASE(
    "dropped history, error statuses and an unreachable store are told apart") {
  StandinStore store;
  store.PutJson("op/config", kRouteTableJson);
  KvClient client({"127.0.0.1", store.port()});
  store.DropHistory();
  auto fault = ErrorOf([&] { return client.Watch(1, milliseconds(20)); });
  REQUIRE(fault);
  CHECK(fault->kind == ErrorKind::kStale);
  for (const int status : {429, 503}) {
    store.SetErrorStatus(status);
    fault = ErrorOf([&] { return client.ReadAll(seconds(1)); });
    REQUIRE(fault);
    CHECK(fault->kind == ErrorKind::kRefused);
  }
  store.SetErrorStatus(0);
  // The client remains usable after the failures.
  CHECK(!ErrorOf([&] { return client.ReadAll(seconds(1)); }));
  KvClient unreachable({"127.0.0.1", 1});
  fault = ErrorOf([&] { return unreachable.ReadAll(seconds(1)); });
  REQUIRE(fault);
  CHECK(fault->kind == ErrorKind::kUnreachable);
}

TEST_CASE("answers name the store's era, and a watch across a return ends") {
  StandinStore store;
  store.PutJson("op/config", kRouteTableJson);
  KvClient client({"127.0.0.1", store.port()});
  const auto before =
      Require<PublishedItems>([&] { return client.ReadAll(seconds(2)); });
  CHECK(before.era == 0);
  store.KeepCopy();
  store.Put("other/key", "?");
  store.ReturnFromCopy();
  const auto after =
      Require<PublishedItems>([&] { return client.ReadAll(seconds(2)); });
  CHECK(after.era == 1);
  CHECK(after.current == before.current);
  const auto watched = Require<PublishedItems>(
      [&] { return client.Watch(after.current.number, milliseconds(10)); });
  CHECK(watched.era == 1);
  const auto error = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(client.Watch(after.current.number + 1, milliseconds(10)));
    return {};
  });
  REQUIRE(error);
  CHECK(error->kind == ErrorKind::kStale);
}

}  // namespace
}  // namespace damasktack
