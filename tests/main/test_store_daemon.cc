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

std::string Book(int version, const std::string& prefix) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":{"columns":["name","host","prefix","kind","timeout_ms",
"service"],"rows":[["r","a.example",")" +
         prefix + R"(","safe",2000,"s"]]},
"services":{"columns":["name"],"rows":[["s"]]}})";
}

std::string Endpoint(int port) {
  return R"({"address":"127.0.0.1:)" + std::to_string(port) +
         R"(","info":{"service":"s","version":"v1","zone":"z1","slots":4},
"status":{"state":"ready","sequence":1,"cold_ms":0}})";
}

// An endpoint that answers each call at once, after `takes`.
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

httplib::Result Ask(const StoreDaemon& daemon, const std::string& path) {
  httplib::Client client("127.0.0.1", daemon.caller_port());
  return client.Get(path, {{"Host", "a.example"},
                           {kCall, "c-1"},
                           {"X-Damasktack-Deadline-Ms", "2000"}});
}

TEST_CASE("a host that knows no routes answers 503 and is not ready") {
  const StandinStore store;
  const auto daemon = StartDaemon(store.port());
  const auto answer = Ask(*daemon, "/x/1");
  REQUIRE(answer);
  CHECK(answer->status == 503);
  CHECK(!daemon->Ready());
}

TEST_CASE("routes and endpoints come into force as the store has them") {
  const CallEndpoint endpoint(milliseconds(0));
  StandinStore store;
  const auto daemon = StartDaemon(store.port());
  store.PutJson("op/config", Book(3, "/x/"));
  store.PutJson("servers/i-1", Endpoint(endpoint.port()));
  CHECK(Eventually([&] { return daemon->Ready(); }));
  CHECK(Eventually([&] {
    const auto answer = Ask(*daemon, "/x/1");
    return answer && answer->status == 200 && answer->body == "ran";
  }));
  // A value that cannot be followed leaves the last good one in force, and an
  // older version does not come back.
  store.PutJson("op/config", Book(4, "no-slashes"));
  store.PutJson("op/config", Book(2, "/old/"));
  store.PutJson("op/config", Book(5, "/y/"));
  CHECK(Eventually([&] { return Ask(*daemon, "/x/1")->status == 404; }));
  CHECK(Ask(*daemon, "/old/1")->status == 404);
  store.PutJson("op/config", Book(6, "/x/"));
  CHECK(Eventually([&] { return Ask(*daemon, "/x/1")->status == 200; }));
}

// An operator empties a zone for a repair and requests go on reaching it. All
// endpoints are in that zone: callers hear that their requests were not run,
// operators see the drain in the metrics, and the zone serves again once the
// drain is taken back.
TEST_CASE("a drain of a zone comes into force and ends") {
  const CallEndpoint endpoint(milliseconds(0));
  StandinStore store;
  store.PutJson("op/config", Book(3, "/x/"));
  store.PutJson("servers/i-1", Endpoint(endpoint.port()));
  const auto daemon = StartDaemon(store.port());
  CHECK(Eventually([&] { return Ask(*daemon, "/x/1")->status == 200; }));
  const std::string gauge = R"(damasktack_zone_drained{zone="z1"} 1)";
  store.PutJson("op/evacuate/z1", "{}");
  CHECK(Eventually([&] { return Ask(*daemon, "/x/1")->status == 503; }));
  CHECK(daemon->Metrics().find(gauge) != std::string::npos);
  store.Remove("op/evacuate/z1");
  CHECK(Eventually([&] { return Ask(*daemon, "/x/1")->status == 200; }));
  CHECK(daemon->Metrics().find(gauge) == std::string::npos);
}

TEST_CASE("calls are served while the store is away") {
  const CallEndpoint endpoint(milliseconds(0));
  StandinStore store;
  store.PutJson("op/config", Book(3, "/x/"));
  store.PutJson("servers/i-1", Endpoint(endpoint.port()));
  const auto daemon = StartDaemon(store.port());
  CHECK(Eventually([&] { return Ask(*daemon, "/x/1")->status == 200; }));
  store.RefuseWith(503);
  std::this_thread::sleep_for(milliseconds(300));
  CHECK(Ask(*daemon, "/x/1")->status == 200);
  store.RefuseWith(0);
  store.Remove("servers/i-1");
  store.PutJson("op/config", Book(4, "/y/"));
  CHECK(Eventually([&] { return Ask(*daemon, "/x/1")->status == 404; }));
}

// A caller's request is in flight when the host is told to stop, and another
// caller connects after the host has stopped taking connections. The first gets
// its answer; the second is refused before anything of it was read.
TEST_CASE("a stop finishes what it has taken and takes nothing late") {
  const CallEndpoint endpoint(milliseconds(900));
  StandinStore store;
  store.PutJson("op/config", Book(3, "/x/"));
  store.PutJson("servers/i-1", Endpoint(endpoint.port()));
  const auto daemon = StartDaemon(store.port());
  REQUIRE(Eventually([&] {
    const auto services = daemon->Services();
    return !services.empty() && !services[0].balancer.table.endpoints.empty();
  }));
  int status = 0;
  std::thread caller([&] { status = Ask(*daemon, "/x/1")->status; });
  REQUIRE(Eventually([&] { return daemon->Host().calls_in_flight > 0; }));
  std::thread stop([&] { daemon->Stop(); });
  CHECK(Eventually([&] { return !Ask(*daemon, "/none/"); }));
  caller.join();
  stop.join();
  CHECK(status == 200);
}

// A caller's report takes longer than most, and the host is told to stop while
// its endpoint works on it. The platform would wait long enough; the host gave
// up after a time of its own, and the caller lost an answer that was on its
// way.
TEST_CASE("a stop waits for calls for as long as the platform does") {
  const CallEndpoint endpoint(milliseconds(900));
  StandinStore store;
  store.PutJson("op/config", Book(3, "/x/"));
  store.PutJson("servers/i-1", Endpoint(endpoint.port()));
  Settings settings = MakeSettings(store.port());
  settings.stop.longest = milliseconds(0);
  settings.stop.grace_seconds = 5;
  StoreDaemon daemon(settings);
  Try([&] { return daemon.Start(); },
      [](const Error& error) { FAIL(ToString(error)); });
  REQUIRE(Eventually([&] { return daemon.Ready(); }));
  int status = 0;
  std::thread caller([&] {
    const auto answer = Ask(daemon, "/x/1");
    status = answer ? answer->status : 0;
  });
  REQUIRE(Eventually([&] { return daemon.Host().calls_in_flight > 0; }));
  daemon.Stop();
  caller.join();
  CHECK(status == 200);
}

// Settings change while a call is at its endpoint. The call gets its answer,
// and what the change says of the stop holds at the next stop: by the settings
// of the start it would last ten minutes.
TEST_CASE("changed settings are taken in without cutting a call") {
  const CallEndpoint endpoint(milliseconds(300));
  StandinStore store;
  store.PutJson("op/config", Book(3, "/x/"));
  store.PutJson("servers/i-1", Endpoint(endpoint.port()));
  Settings settings = MakeSettings(store.port());
  settings.stop.lag = std::chrono::minutes(10);
  StoreDaemon daemon(settings);
  Try([&] { return daemon.Start(); },
      [](const Error& error) { FAIL(ToString(error)); });
  REQUIRE(Eventually([&] { return daemon.Ready(); }));
  int status = 0;
  std::thread caller([&] { status = Ask(daemon, "/x/1")->status; });
  REQUIRE(Eventually([&] { return daemon.Host().calls_in_flight > 0; }));
  settings.stop.lag = milliseconds(20);
  settings.fleet.seeds = {{"127.0.0.1", 9}};
  settings.proxy.threads = 2;
  daemon.Reload(settings);
  caller.join();
  CHECK(status == 200);
  CHECK(Ask(daemon, "/x/1")->status == 200);
  daemon.Stop();
}

}  // namespace
}  // namespace damasktack
