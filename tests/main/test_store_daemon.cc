#include "main/store_daemon.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "platform/standin/standin_store.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr auto kCall = "X-Damasktack-Request-Id";

bool Eventually(const std::function<bool()>& holds) {
  for (int n = 0; n < 10'000 && !holds(); ++n) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return holds();
}

std::string RouteTableJson(int version, const std::string& prefix) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":{"columns":["name","host","prefix","kind","timeout_ms",
"service"],"rows":[["r","a.example",")" +
         prefix + R"(","safe",2000,"s"]]},
"services":{"columns":["name"],"rows":[["s"]]}})";
}

std::string EndpointJson(int port) {
  return R"({"address":"127.0.0.1:)" + std::to_string(port) +
         R"(","info":{"service":"s","version":"v1","zone":"z1","slots":4},
"status":{"state":"ready","sequence":1,"cold_ms":0}})";
}

// An endpoint that answers each call after `takes`.
class CallEndpoint {
 public:
  explicit CallEndpoint(Duration takes) {
    const auto answer = [takes](const httplib::Request& req,
                                httplib::Response& res) {
      std::this_thread::sleep_for(takes);
      res.set_header(kCall, req.get_header_value(kCall));
      res.set_content("ran", "text/plain");
    };
    server_.Get("/health", [](const httplib::Request&, httplib::Response& res) {
      res.set_header("X-Damasktack-Server-Load", "0,0,4,100");
    });
    server_.Get("/x/.*", answer);
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  ~CallEndpoint() {
    server_.stop();
    thread_.join();
  }
  int port() const { return port_; }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::thread thread_;
};

Settings MakeSettings(std::uint16_t store) {
  Settings settings;
  settings.host = HostId("h1");
  settings.zone = ZoneId("z1");
  settings.proxy.listen = SocketAddress{"127.0.0.1", 0};
  settings.proxy.threads = 1;
  settings.proxy.measures_before_sending = true;
  settings.admin.listen = SocketAddress{"127.0.0.1", 0};
  settings.admin.public_only = true;
  settings.store.enabled = true;
  settings.store.address = SocketAddress{"127.0.0.1", store};
  settings.stop.lag = milliseconds(50);
  return settings;
}

std::unique_ptr<StoreDaemon> StartDaemon(std::uint16_t store) {
  auto daemon = std::make_unique<StoreDaemon>(MakeSettings(store));
  Try([&] { return daemon->Start(); },
      [](const Error& error) { FAIL(ToString(error)); });
  return daemon;
}

httplib::Result SendGet(const StoreDaemon& daemon, const std::string& path) {
  httplib::Client client("127.0.0.1", daemon.caller_port());
  return client.Get(path, {{"Host", "a.example"},
                           {kCall, "c-1"},
                           {"X-Damasktack-Deadline-Ms", "2000"}});
}

TEST_CASE("a host without routes answers 503 and is not ready") {
  const StandinStore store;
  const auto daemon = StartDaemon(store.port());
  const auto answer = SendGet(*daemon, "/x/1");
  REQUIRE(answer);
  CHECK(answer->status == 503);
  CHECK(!daemon->Ready());
}

TEST_CASE("routes and endpoints are loaded from the store") {
  const CallEndpoint endpoint(milliseconds(0));
  StandinStore store;
  const auto daemon = StartDaemon(store.port());
  store.PutJson("op/config", RouteTableJson(3, "/x/"));
  store.PutJson("servers/i-1", EndpointJson(endpoint.port()));
  CHECK(Eventually([&] { return daemon->Ready(); }));
  CHECK(Eventually([&] {
    const auto answer = SendGet(*daemon, "/x/1");
    return answer && answer->status == 200 && answer->body == "ran";
  }));
  // An invalid value leaves the last valid one in force, and an older version
  // is not accepted.
  store.PutJson("op/config", RouteTableJson(4, "no-slashes"));
  store.PutJson("op/config", RouteTableJson(2, "/old/"));
  store.PutJson("op/config", RouteTableJson(5, "/y/"));
  CHECK(Eventually([&] { return SendGet(*daemon, "/x/1")->status == 404; }));
  CHECK(SendGet(*daemon, "/old/1")->status == 404);
  store.PutJson("op/config", RouteTableJson(6, "/x/"));
  CHECK(Eventually([&] { return SendGet(*daemon, "/x/1")->status == 200; }));
}

// All endpoints are in a zone that an operator drains. Requests must not reach
// it: callers are told that their calls were not run, the metrics show the
// drain, and the zone serves again when the drain ends.
TEST_CASE("a drained zone gets no calls until the drain ends") {
  const CallEndpoint endpoint(milliseconds(0));
  StandinStore store;
  store.PutJson("op/config", RouteTableJson(3, "/x/"));
  store.PutJson("servers/i-1", EndpointJson(endpoint.port()));
  const auto daemon = StartDaemon(store.port());
  CHECK(Eventually([&] { return SendGet(*daemon, "/x/1")->status == 200; }));
  const std::string gauge = R"(damasktack_zone_drained{zone="z1"} 1)";
  store.PutJson("op/evacuate/z1", "{}");
  CHECK(Eventually([&] { return SendGet(*daemon, "/x/1")->status == 503; }));
  CHECK(daemon->Metrics().find(gauge) != std::string::npos);
  store.Remove("op/evacuate/z1");
  CHECK(Eventually([&] { return SendGet(*daemon, "/x/1")->status == 200; }));
  CHECK(daemon->Metrics().find(gauge) == std::string::npos);
}

TEST_CASE("calls are served while the store is unavailable") {
  const CallEndpoint endpoint(milliseconds(0));
  StandinStore store;
  store.PutJson("op/config", RouteTableJson(3, "/x/"));
  store.PutJson("servers/i-1", EndpointJson(endpoint.port()));
  const auto daemon = StartDaemon(store.port());
  CHECK(Eventually([&] { return SendGet(*daemon, "/x/1")->status == 200; }));
  store.SetErrorStatus(503);
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(SendGet(*daemon, "/x/1")->status == 200);
  store.SetErrorStatus(0);
  store.Remove("servers/i-1");
  store.PutJson("op/config", RouteTableJson(4, "/y/"));
  CHECK(Eventually([&] { return SendGet(*daemon, "/x/1")->status == 404; }));
}

// A request is in flight when the host is told to stop, and another caller
// connects after the host has stopped accepting connections. The first must get
// its response; the second must be refused before anything is read.
TEST_CASE("a stop finishes accepted calls and accepts no new ones") {
  const CallEndpoint endpoint(milliseconds(900));
  StandinStore store;
  store.PutJson("op/config", RouteTableJson(3, "/x/"));
  store.PutJson("servers/i-1", EndpointJson(endpoint.port()));
  const auto daemon = StartDaemon(store.port());
  REQUIRE(Eventually([&] {
    const auto services = daemon->Services();
    return !services.empty() && !services[0].balancer.table.endpoints.empty();
  }));
  int status = 0;
  std::thread caller([&] { status = SendGet(*daemon, "/x/1")->status; });
  REQUIRE(Eventually([&] { return daemon->Host().calls_in_flight > 0; }));
  std::thread stop([&] { daemon->Stop(); });
  CHECK(Eventually([&] { return !SendGet(*daemon, "/none/"); }));
  caller.join();
  stop.join();
  CHECK(status == 200);
}

// Guards against a stop that gives up after a fixed time although the platform
// waits longer, so that a caller of a slow call loses a response that was about
// to arrive.
TEST_CASE("a stop waits for calls for as long as the platform does") {
  const CallEndpoint endpoint(milliseconds(900));
  StandinStore store;
  store.PutJson("op/config", RouteTableJson(3, "/x/"));
  store.PutJson("servers/i-1", EndpointJson(endpoint.port()));
  Settings settings = MakeSettings(store.port());
  settings.stop.longest = milliseconds(0);
  settings.stop.grace_seconds = 5;
  StoreDaemon daemon(settings);
  Try([&] { return daemon.Start(); },
      [](const Error& error) { FAIL(ToString(error)); });
  REQUIRE(Eventually([&] { return daemon.Ready(); }));
  int status = 0;
  std::thread caller([&] {
    const auto answer = SendGet(daemon, "/x/1");
    status = answer ? answer->status : 0;
  });
  REQUIRE(Eventually([&] { return daemon.Host().calls_in_flight > 0; }));
  daemon.Stop();
  caller.join();
  CHECK(status == 200);
}

// Settings are reloaded while a call is in flight. The call must be answered,
// and the reloaded stop settings must apply at the next stop: with the initial
// ones it would last ten minutes.
TEST_CASE("changed settings are applied without aborting a call") {
  const CallEndpoint endpoint(milliseconds(300));
  StandinStore store;
  store.PutJson("op/config", RouteTableJson(3, "/x/"));
  store.PutJson("servers/i-1", EndpointJson(endpoint.port()));
  Settings settings = MakeSettings(store.port());
  settings.stop.lag = std::chrono::minutes(10);
  StoreDaemon daemon(settings);
  Try([&] { return daemon.Start(); },
      [](const Error& error) { FAIL(ToString(error)); });
  REQUIRE(Eventually([&] { return daemon.Ready(); }));
  int status = 0;
  std::thread caller([&] { status = SendGet(daemon, "/x/1")->status; });
  REQUIRE(Eventually([&] { return daemon.Host().calls_in_flight > 0; }));
  settings.stop.lag = milliseconds(20);
  settings.fleet.seeds = {{"127.0.0.1", 9}};
  settings.proxy.threads = 2;
  daemon.Reload(settings);
  caller.join();
  CHECK(status == 200);
  CHECK(SendGet(daemon, "/x/1")->status == 200);
  daemon.Stop();
}

}  // namespace
}  // namespace damasktack
