#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <limits>
#include <string>
#include <vector>

#include "fleet/peer_codec.h"
#include "fleet/published_view.h"
#include "fleet/route_messages.h"
#include "platform/kv_client.h"
#include "platform/standin/standin_store.h"

namespace damasktack {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

// A valid configuration with two routes; the first one splits its requests.
Json ValidConfig() {
  return Json::parse(R"({"version":7,
"routes":{"columns":["name","host","prefix","kind","timeout_ms",
  "target_latency_ms","priority","max_attempts","split","service"],
 "rows":[
  ["r-1","a.example","/x/","safe",1200,400,2,3,
   [{"service":"s","weight":90},{"service":"t","weight":10}],null],
  ["r-2","b.example","/","unsafe",1500,null,1,null,null,"s"]]},
"services":{"columns":["name","health_path","max_conns","cold_s","cold_per_s"],
 "rows":[["s","/health",260,1.5,2],["t",null,null,null,null]]},
"limits":{"max_header_bytes":16384,"max_body_bytes":1000,
 "header_timeout_ms":3000,"idle_timeout_ms":15000}})");
}

// Positions of the configuration's numbers, in the rows of the tables.
constexpr std::size_t kTimeout = 4;
constexpr std::size_t kObjective = 5;
constexpr std::size_t kPriority = 6;
constexpr std::size_t kAttempts = 7;
constexpr std::size_t kSplit = 8;
constexpr std::size_t kConnections = 2;
constexpr std::size_t kColdSeconds = 3;
constexpr std::size_t kColdRate = 4;

Json& RouteCell(Json& config, std::size_t column) {
  return config["routes"]["rows"][0][column];
}

Json& ServiceCell(Json& config, std::size_t column) {
  return config["services"]["rows"][0][column];
}

// Publishes a configuration and returns what a host reads from the store.
PublishedItems ReadFromStore(const Json& config) {
  StandinStore store;
  std::string bytes;
  Json::to_cbor(config, bytes);
  store.Put("op/config", bytes);
  KvClient client({"127.0.0.1", store.port()});
  PublishedItems items;
  const auto error = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(items, client.ReadAll(seconds(5)));
    return {};
  });
  REQUIRE(!error);
  return items;
}

// Returns the routes that are in force at a host which reads the store, or null
// if it refuses them.
std::shared_ptr<const RouteTable> RoutesInForce(const Json& config) {
  PublishedView view;
  view.ApplyFullRead(ReadFromStore(config), false, TimePoint(seconds(1)));
  return view.routes();
}

// Whether a follower takes exactly this table from its feeder.
bool IsTakenByFollower(const RouteTable& table) {
  RouteTable taken;
  const auto error = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(taken, ParseRouteTable(ToJson(table), "test"));
    return CheckRouteTable(taken);
  });
  return !error && taken == table;
}

// Guards against one number that a host does not support keeping the whole
// configuration, and so the route's new service, out of force.
TEST_CASE("a configuration with a number beyond a host's range is in force") {
  const std::vector<Json> large = {std::int64_t{1} << 31,
                                   std::int64_t{1} << 40,
                                   std::int64_t{1} << 62,
                                   std::numeric_limits<std::int64_t>::max(),
                                   std::uint64_t{1} << 63,
                                   std::numeric_limits<std::uint64_t>::max(),
                                   1e30};
  std::vector<Json> configs;
  for (const Json& it : large) {
    for (const char* limit : {"max_header_bytes", "max_body_bytes",
                              "header_timeout_ms", "idle_timeout_ms"}) {
      configs.push_back(ValidConfig());
      configs.back()["limits"][limit] = it;
    }
    for (const std::size_t column :
         {kTimeout, kObjective, kPriority, kAttempts}) {
      configs.push_back(ValidConfig());
      RouteCell(configs.back(), column) = it;
    }
    for (const std::size_t column : {kConnections, kColdSeconds, kColdRate}) {
      configs.push_back(ValidConfig());
      ServiceCell(configs.back(), column) = it;
    }
    configs.push_back(ValidConfig());
    RouteCell(configs.back(), kSplit)[0]["weight"] = it;
  }
  for (const Json& low : {Json(-1), Json(-0.5)}) {
    for (const std::size_t column : {kObjective, kPriority, kAttempts}) {
      configs.push_back(ValidConfig());
      RouteCell(configs.back(), column) = low;
    }
    configs.push_back(ValidConfig());
    configs.back()["limits"]["max_body_bytes"] = low;
  }
  for (const Json& it : configs) {
    CAPTURE(it.dump());
    const auto routes = RoutesInForce(it);
    REQUIRE(routes);
    CHECK(routes->version == 7);
    CHECK(routes->routes.size() == 2);
    CHECK(IsTakenByFollower(*routes));
  }
}

TEST_CASE("a number beyond a host's range is used as the nearest one") {
  Json config = ValidConfig();
  config["limits"]["max_body_bytes"] = std::uint64_t{1} << 63;
  config["limits"]["max_header_bytes"] = -1;
  config["limits"]["idle_timeout_ms"] = 864'000'000;
  RouteCell(config, kAttempts) = std::int64_t{1} << 40;
  RouteCell(config, kTimeout) = 172'800'000;
  ServiceCell(config, kConnections) = 0;
  const auto routes = RoutesInForce(config);
  REQUIRE(routes);
  CHECK(routes->limits.body_bytes == 1'000'000'000);
  CHECK(routes->limits.header_bytes == CallerLimits().header_bytes);
  CHECK(routes->limits.idle_timeout == hours(24));
  CHECK(routes->routes[0].attempt_limit == 100);
  CHECK(routes->routes[0].timeout == hours(24));
  CHECK(routes->services[0].connections == 1);
}

// Guards against weights that are no whole numbers keeping a configuration out
// of force, and against a changed proportion.
TEST_CASE("weights of any size keep their proportions") {
  const auto weights = [](const Json& first, const Json& second) {
    Json config = ValidConfig();
    RouteCell(config, kSplit)[0]["weight"] = first;
    RouteCell(config, kSplit)[1]["weight"] = second;
    const auto routes = RoutesInForce(config);
    REQUIRE(routes);
    CHECK(IsTakenByFollower(*routes));
    const std::vector<RouteTarget>& targets = routes->routes[0].targets;
    return std::pair(targets[0].weight, targets[1].weight);
  };
  CHECK(weights(90, 10) == std::pair<std::int64_t, std::int64_t>(90, 10));
  CHECK(weights(1.0, 0.0) == std::pair<std::int64_t, std::int64_t>(1, 0));
  const auto half = weights(0.5, 0.5);
  CHECK(half.first == half.second);
  CHECK(half.first > 0);
  const auto large = weights(std::int64_t{1} << 40, std::int64_t{1} << 39);
  CHECK(large.first == 2 * large.second);
  CHECK(weights(1e300, 1e-300).second == 1);
}

// Guards against an adjusted number that no operator notices, and against a log
// line for each read of the same value.
TEST_CASE("an adjusted number is reported once, with a remedy") {
  Json config = ValidConfig();
  config["limits"]["max_body_bytes"] = std::int64_t{1} << 31;
  const PublishedItems items = ReadFromStore(config);
  PublishedView view;
  view.ApplyFullRead(items, false, TimePoint(seconds(1)));
  const std::vector<Error> adjusted = view.TakeAdjusted();
  REQUIRE(adjusted.size() == 1);
  CHECK(adjusted[0].where == "limits.max_body_bytes");
  CHECK(adjusted[0].found == "2147483648");
  CHECK(adjusted[0].remedy ==
        "publish a number from 0 to 1000000000; until then 1000000000 is used");
  CHECK(view.TakeRefused().empty());
  view.ApplyFullRead(items, false, TimePoint(seconds(2)));
  CHECK(view.TakeAdjusted().empty());
}

// Guards against a configuration that a reader of the store takes and cannot
// pass on: its followers would keep the one before for good.
TEST_CASE("a configuration as large as the store holds fits into a message") {
  constexpr std::size_t kMaxValueBytes = 1 << 20;
  constexpr std::size_t kRoutes = 15'000;
  Json config = ValidConfig();
  Json& rows = config["routes"]["rows"];
  const Json last = rows[1];
  while (rows.size() < kRoutes) {
    rows.push_back(last);
    rows.back()[0] = "r-" + std::to_string(rows.size());
    rows.back()[2] = "/" + std::to_string(rows.size()) + "/";
  }
  REQUIRE(Json::to_cbor(config).size() < kMaxValueBytes);
  const auto routes = RoutesInForce(config);
  REQUIRE(routes);
  FeedUpdate update;
  update.changes.items.push_back({9, *routes});
  const std::string frame = EncodePeerMessage(update);
  std::optional<PeerMessage> received;
  const auto error = CaptureError([&]() -> leaf::result<void> {
    BOOST_LEAF_ASSIGN(received, DecodePeerMessage(frame));
    return {};
  });
  REQUIRE(!error);
  REQUIRE(received);
  const auto& items = std::get<FeedUpdate>(*received).changes.items;
  REQUIRE(items.size() == 1);
  CHECK(std::get<RouteTable>(items[0].value) == *routes);
}

TEST_CASE("generated configurations: a follower takes what its feeder reads") {
  CHECK(rc::check([] {
    const auto number = [] {
      const auto magnitude = *rc::gen::inRange(0, 64);
      const std::uint64_t whole =
          *rc::gen::arbitrary<std::uint64_t>() >> magnitude;
      return *rc::gen::element<Json>(
          whole, -static_cast<std::int64_t>(whole >> 1U),
          std::ldexp(static_cast<double>(whole), magnitude - 40));
    };
    Json config = ValidConfig();
    config["limits"]["max_body_bytes"] = number();
    config["limits"]["header_timeout_ms"] = number();
    RouteCell(config, kPriority) = number();
    RouteCell(config, kAttempts) = number();
    RouteCell(config, kSplit)[0]["weight"] = number();
    RouteCell(config, kObjective) = number();
    ServiceCell(config, kConnections) = number();
    ServiceCell(config, kColdRate) = number();
    const auto routes = RoutesInForce(config);
    RC_ASSERT(routes != nullptr);
    RC_ASSERT(IsTakenByFollower(*routes));
  }));
}

}  // namespace
}  // namespace damasktack
