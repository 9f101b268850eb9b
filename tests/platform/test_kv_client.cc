#include "platform/kv_client.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>

#include "platform/kv_codec.h"
#include "standin/standin_store.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kBook =
    R"({"version":7,"resources":[
{"resource_type":"routes","metadata":{"name":"r-1"},"spec":{
 "host":"a.example","prefix":"/x/","kind":"safe","timeout_ms":1200,
 "target_latency_ms":400,"priority":2,"max_attempts":3,"later":1,
 "split":[{"service":"s","weight":90},{"service":"t","weight":10}]}},
{"resource_type":"routes","metadata":{"name":"r-2"},"spec":{
 "host":"b.example","prefix":"/","kind":"unsafe","timeout_ms":1500,
 "service":"s","priority":1}},
{"resource_type":"services","metadata":{"name":"s"},"spec":{
 "health_path":"/health","max_conns":260,"protocol":"h1","tls":false}},
{"resource_type":"services","metadata":{"name":"t"},"spec":{}},
{"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":16384,
 "max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
{"resource_type":"of-a-later-version","spec":{}}]})";

constexpr auto kEndpoint =
    R"({"address":"10.128.0.9:8080","info":{"service":"s","version":"v1",
"zone":"z","slots":6},"status":{"state":"draining","sequence":4,
"cold_ms":900},"later":true})";

template <typename Body>
std::optional<Error> Fault(Body body) {
  return FaultOf([&]() -> leaf::result<void> {
    BOOST_LEAF_CHECK(body());
    return {};
  });
}

template <typename Value, typename Body>
Value Require(Body body) {
  Value value{};
  const auto fault = FaultOf([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(value, body());
    return {};
  });
  if (fault) {
    FAIL(ToString(*fault));
  }
  return value;
}

TEST_CASE("a published book is decoded into the product's own types") {
  const auto book = Require<RouteBook>([] { return DecodeRouteBook(kBook); });
  CHECK(book.version == 7);
  REQUIRE(book.routes.size() == 2);
  const Route& safe = book.routes[0];
  CHECK(safe.idempotent);
  CHECK(safe.timeout == milliseconds(1200));
  CHECK(safe.latency_objective == milliseconds(400));
  CHECK(safe.most_sends == 3);
  CHECK(safe.targets ==
        std::vector<RouteTarget>{{ServiceId("s"), 90}, {ServiceId("t"), 10}});
  // Both routes go to s, and the other one has the higher rank.
  CHECK(safe.urgency == Urgency::kNormal);
  CHECK(book.routes[1].urgency == Urgency::kUrgent);
  CHECK(!book.routes[1].idempotent);
  CHECK(book.routes[1].latency_objective == milliseconds(1500));
  CHECK(book.services[0].connections == 260);
  CHECK(book.limits.body_bytes == 1000);
  CHECK(book.limits.idle_timeout == seconds(15));
  CHECK(!Fault([&] { return CheckRouteBook(book); }));
}

TEST_CASE("a published endpoint is decoded") {
  const auto endpoint = Require<PublishedEndpoint>(
      [] { return DecodeEndpoint("i-1", kEndpoint); });
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
       {book.substr(0, book.size() / 2), std::string("[]"),
        without(book, R"("version":7,)"),
        without(book, R"("timeout_ms":1200,)"),
        with(book, R"("timeout_ms":1200)", R"("timeout_ms":-1)"),
        with(book, R"("weight":90)", R"("weight":"many")")}) {
    CAPTURE(it);
    const auto fault = Fault([&] { return DecodeRouteBook(it); });
    REQUIRE(fault);
    CHECK(!fault->remedy.empty());
  }
  for (const std::string& it :
       {endpoint.substr(0, 40), without(endpoint, R"("slots":6)"),
        with(endpoint, "10.128.0.9:8080", "nowhere"),
        with(endpoint, R"("slots":6)", R"("slots":0)")}) {
    CAPTURE(it);
    CHECK(Fault([&] { return DecodeEndpoint("i-1", it); }));
  }
}

TEST_CASE("a book that could not be followed is refused as a whole") {
  const auto broken = [](auto change) {
    auto book = Require<RouteBook>([] { return DecodeRouteBook(kBook); });
    change(book);
    return Fault([&] { return CheckRouteBook(book); }).has_value();
  };
  CHECK(broken([](RouteBook& it) { it.routes[0].prefix = "x/"; }));
  CHECK(broken([](RouteBook& it) { it.routes[0].prefix = "/x"; }));
  CHECK(broken([](RouteBook& it) { it.routes[0].host.clear(); }));
  CHECK(broken([](RouteBook& it) { it.routes[0].targets.clear(); }));
  CHECK(broken([](RouteBook& it) { it.services.clear(); }));
  CHECK(broken([](RouteBook& it) { it.version = 0; }));
}

TEST_CASE("all pages are read, and one bad value costs only itself") {
  StandinStore store(2);
  store.Put("op/config", kBook);
  for (int n = 0; n < 5; ++n) {
    store.Put("servers/i-" + std::to_string(n), kEndpoint);
  }
  store.Put("servers/bad", "{");
  store.Put("other/key", "?");
  KvClient client({"127.0.0.1", store.port()});
  const auto all =
      Require<PublishedItems>([&] { return client.ReadAll(seconds(2)); });
  CHECK(all.current == 8);
  REQUIRE(all.items.size() == 7);
  const auto unreadable = std::ranges::count_if(all.items, [](const auto& it) {
    return std::holds_alternative<UnreadableValue>(it.value);
  });
  CHECK(unreadable == 1);
}

TEST_CASE("a watch tells of changes and removals, and ends without any") {
  StandinStore store;
  store.Put("servers/i-1", kEndpoint);
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
  store.Put("op/config", kBook);
  KvClient client({"127.0.0.1", store.port()});
  store.ForgetHistory();
  auto fault = Fault([&] { return client.Watch(1, milliseconds(20)); });
  REQUIRE(fault);
  CHECK(fault->kind == ErrorKind::kStale);
  for (const int status : {429, 503}) {
    store.RefuseWith(status);
    fault = Fault([&] { return client.ReadAll(seconds(1)); });
    REQUIRE(fault);
    CHECK(fault->kind == ErrorKind::kRefused);
  }
  store.RefuseWith(0);
  // The client is usable after each failure.
  CHECK(!Fault([&] { return client.ReadAll(seconds(1)); }));
  KvClient nobody({"127.0.0.1", 1});
  fault = Fault([&] { return nobody.ReadAll(seconds(1)); });
  REQUIRE(fault);
  CHECK(fault->kind == ErrorKind::kUnreachable);
}

}  // namespace
}  // namespace damasktack
