#include <doctest/doctest.h>
#include <httplib.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "main/daemon.h"
#include "main/store_daemon.h"
#include "platform/standin/standin_store.h"
#include "standin/free_ports.h"
#include "standin/standin_platform.h"
#include "tests/support/crashing_endpoint.h"

// A request crashed every endpoint that ran it, and its caller sent it again
// and again, each time to another host. No host remembered what the request had
// done: each gave it to a sound endpoint, and to a second one when the first
// was lost. One request ended 38 endpoints, and in the worst second 59 of 109
// calls to their service were refused. Here it ended 24 endpoints with a store
// and 14 with documents:
//
//   request=3ab254a846146522 failure=broken endpoint=e3 sends=2
//   request=3ab254a846146522 failure=broken endpoint=e0 sends=2
//
// They had nothing else to do, so that it was not load that ended them. Hosts
// now tell each other which requests endpoints ended under.
namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kHosts = 3;
constexpr std::size_t kEndpoints = 10;
constexpr int kAttempts = 12;
// Three endpoints have to end before anybody can tell the request from its
// bystanders, and as many more may until all hosts know.
constexpr int kMostCrashes = 6;
constexpr milliseconds kBetweenAttempts(400);
constexpr milliseconds kDownFor(2000);
constexpr auto kHttpOk = 200;
constexpr auto kUnavailable = 503;

bool Eventually(const std::function<bool()>& holds) {
  for (int n = 0; n < 10'000 && !holds(); ++n) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return holds();
}

std::vector<std::unique_ptr<CrashingEndpoint>> MakeEndpoints(
    const std::string& call_header) {
  std::vector<std::unique_ptr<CrashingEndpoint>> endpoints;
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    endpoints.push_back(
        std::make_unique<CrashingEndpoint>(call_header, kDownFor));
  }
  return endpoints;
}

int CountCrashes(
    const std::vector<std::unique_ptr<CrashingEndpoint>>& endpoints) {
  int crashes = 0;
  for (const auto& it : endpoints) {
    crashes += it->crashes();
  }
  return crashes;
}

httplib::Result Ask(std::uint16_t port,
                    const std::string& path,
                    const httplib::Headers& headers) {
  httplib::Client client("127.0.0.1", port);
  return client.Get(path, headers);
}

// Sends the request to one host after the other, and other requests between,
// which may find an endpoint gone but are not to be taken for culprits.
void SendAgainAndAgain(const std::vector<std::uint16_t>& hosts,
                       const std::string& prefix,
                       const httplib::Headers& headers) {
  for (int n = 0; n < kAttempts; ++n) {
    const std::uint16_t port = hosts[static_cast<std::size_t>(n) % kHosts];
    const auto crashed = Ask(port, prefix + "crash", headers);
    REQUIRE(crashed);
    CHECK(crashed->status > kHttpOk);
    std::this_thread::sleep_for(kBetweenAttempts);
    const auto other = Ask(port, prefix + std::to_string(n), headers);
    REQUIRE(other);
    CHECK(other->body.find("quarantined") == std::string::npos);
  }
}

// In the end each host refuses it without a send and says when to come back,
// and serves all else.
void CheckRefused(const std::vector<std::uint16_t>& hosts,
                  const std::string& prefix,
                  const httplib::Headers& headers) {
  std::this_thread::sleep_for(kDownFor);
  for (const std::uint16_t port : hosts) {
    const auto other = Ask(port, prefix + "other", headers);
    REQUIRE(other);
    CHECK(other->status == kHttpOk);
    const auto refused = Ask(port, prefix + "crash", headers);
    REQUIRE(refused);
    CHECK(refused->status == kUnavailable);
    CHECK(refused->has_header("Retry-After"));
  }
}

template <typename AnyDaemon>
std::vector<std::uint16_t> CallerPorts(
    const std::vector<std::unique_ptr<AnyDaemon>>& daemons) {
  std::vector<std::uint16_t> ports;
  for (const auto& it : daemons) {
    ports.push_back(it->caller_port());
  }
  return ports;
}

class StoreFleet {
 public:
  StoreFleet() : endpoints_(MakeEndpoints(kCall)) {
    store_.PutJson("op/config", R"({"version":3,"routes":{"columns":["name",
"host","prefix","kind","timeout_ms","max_attempts","service"],"rows":[["r",
"a.example","/x/","safe",2000,2,"s"]]},
"services":{"columns":["name"],"rows":[["s"]]}})");
    for (std::size_t n = 0; n < kEndpoints; ++n) {
      store_.PutJson("servers/i-" + std::to_string(n),
                     R"({"address":"127.0.0.1:)" +
                         std::to_string(endpoints_[n]->port()) +
                         R"(","info":{"service":"s","version":"v1","zone":"z1",
"slots":4},"status":{"state":"ready","sequence":1,"cold_ms":0}})");
    }
    FreePorts ports;
    const SocketAddress seed{"127.0.0.1", ports.Take()};
    for (std::size_t n = 0; n < kHosts; ++n) {
      const SocketAddress address =
          n == 0 ? seed : SocketAddress{"127.0.0.1", ports.Take()};
      Start("h" + std::to_string(n), address, seed);
    }
  }

  std::vector<std::uint16_t> ports() const { return CallerPorts(daemons_); }
  int crashes() const { return CountCrashes(endpoints_); }

  static constexpr auto kCall = "X-Damasktack-Request-Id";

 private:
  void Start(const std::string& name,
             const SocketAddress& address,
             const SocketAddress& seed) {
    Settings settings;
    settings.host = HostId(name);
    settings.zone = ZoneId("z1");
    settings.proxy.listen = SocketAddress{"127.0.0.1", 0};
    settings.proxy.measures_before_sending = true;
    settings.admin.listen = SocketAddress{"127.0.0.1", 0};
    settings.admin.public_only = true;
    settings.store.enabled = true;
    settings.store.address = SocketAddress{"127.0.0.1", store_.port()};
    settings.fleet.enabled = true;
    settings.fleet.listen = address;
    settings.fleet.key = "a key of the fleet";
    settings.fleet.seeds = {seed};
    settings.stop.lag = Duration::zero();
    daemons_.push_back(std::make_unique<StoreDaemon>(settings));
    Try([&] { return daemons_.back()->Start(); },
        [](const Error& error) { FAIL(ToString(error)); });
    CHECK(Eventually([&] { return daemons_.back()->Ready(); }));
  }

  std::vector<std::unique_ptr<CrashingEndpoint>> endpoints_;
  StandinStore store_;
  std::vector<std::unique_ptr<StoreDaemon>> daemons_;
};

class DocumentFleet {
 public:
  DocumentFleet() : endpoints_(MakeEndpoints("Damasktack-Call")) {
    const std::uint16_t platform = platform_.Start(0);
    // The key is "key".
    platform_.Publish("contracts", R"({"contracts": [{"customer": "keepers",
      "key_sha256": [
"2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"],
      "limits": {"in_flight": 2000},
      "requests": [{"service": "dispatch", "idempotent": true}]}]})");
    std::string list;
    for (std::size_t n = 0; n < kEndpoints; ++n) {
      list += std::string(n == 0 ? "" : ",") + R"({"id": "e)" +
              std::to_string(n) + R"(", "address": "127.0.0.1:)" +
              std::to_string(endpoints_[n]->port()) +
              R"(", "zone": "z1", "slots": 4})";
    }
    platform_.Publish("services",
                      R"({"services": [{"id": "dispatch", "prefix": "/dispatch",
"endpoints": [)" + list + "]}]}");
    FreePorts ports;
    std::string hosts;
    std::vector<SocketAddress> addresses;
    for (std::size_t n = 0; n < kHosts; ++n) {
      addresses.push_back({"127.0.0.1", ports.Take()});
      hosts += std::string(n == 0 ? "" : ",") + R"({"id": "h)" +
               std::to_string(n) + R"(", "zone": "z1", "peer_address": ")" +
               ToString(addresses.back()) + R"("})";
    }
    platform_.Publish("hosts", R"({"hosts": [)" + hosts + "]}");
    for (std::size_t n = 0; n < kHosts; ++n) {
      Start("h" + std::to_string(n), addresses[n], platform);
    }
    for (const auto& it : daemons_) {
      CHECK(Eventually([&] { return it->Ready(); }));
    }
  }

  std::vector<std::uint16_t> ports() const { return CallerPorts(daemons_); }
  int crashes() const { return CountCrashes(endpoints_); }

 private:
  void Start(const std::string& name,
             const SocketAddress& address,
             std::uint16_t platform) {
    Settings settings;
    settings.host = HostId(name);
    settings.zone = ZoneId("z1");
    settings.proxy.listen = SocketAddress{"127.0.0.1", 0};
    settings.admin.listen = SocketAddress{"127.0.0.1", 0};
    settings.admin.token = "token";
    settings.platform.address = SocketAddress{"127.0.0.1", platform};
    settings.platform.watch = milliseconds(200);
    settings.fleet.enabled = true;
    settings.fleet.listen = address;
    settings.fleet.key = "a key of the fleet";
    settings.stop.lag = Duration::zero();
    daemons_.push_back(std::make_unique<Daemon>(settings));
    Try([&] { return daemons_.back()->Start(); },
        [](const Error& error) { FAIL(ToString(error)); });
  }

  std::vector<std::unique_ptr<CrashingEndpoint>> endpoints_;
  StandinPlatform platform_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

TEST_CASE("a request that crashes endpoints is refused by every host") {
  const StoreFleet fleet;
  const httplib::Headers headers = {{"Host", "a.example"},
                                    {StoreFleet::kCall, "c-1"},
                                    {"X-Damasktack-Deadline-Ms", "1500"}};
  SendAgainAndAgain(fleet.ports(), "/x/", headers);
  CHECK(fleet.crashes() <= kMostCrashes);
  CheckRefused(fleet.ports(), "/x/", headers);
  CHECK(fleet.crashes() <= kMostCrashes);
}

TEST_CASE("a customer's request that crashes endpoints is refused by all") {
  const DocumentFleet fleet;
  const httplib::Headers headers = {{"Damasktack-Key", "key"},
                                    {"Damasktack-Deadline-Ms", "1500"}};
  SendAgainAndAgain(fleet.ports(), "/dispatch/", headers);
  CHECK(fleet.crashes() <= kMostCrashes);
  CheckRefused(fleet.ports(), "/dispatch/", headers);
  CHECK(fleet.crashes() <= kMostCrashes);
}

}  // namespace
}  // namespace damasktack
