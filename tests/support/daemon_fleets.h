#ifndef TESTS_SUPPORT_DAEMON_FLEETS_H_
#define TESTS_SUPPORT_DAEMON_FLEETS_H_

#include <doctest/doctest.h>

#include <cstdint>
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

namespace damasktack {

namespace detail {

inline bool Eventually(const std::function<bool()>& holds) {
  for (int n = 0; n < 10'000 && !holds(); ++n) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return holds();
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

}  // namespace detail

template <typename Endpoint>
std::vector<std::uint16_t> PortsOf(
    const std::vector<std::unique_ptr<Endpoint>>& endpoints) {
  std::vector<std::uint16_t> ports;
  for (const auto& it : endpoints) {
    ports.push_back(it->port());
  }
  return ports;
}

// Changes the settings of a host.
using AdjustSettings = std::function<void(Settings&)>;

// Load balancer hosts of a deployment with a store; calls to "a.example/x/" are
// routed to the given endpoints.
class StoreFleet {
 public:
  static constexpr auto kRoutes = R"({"version":3,"routes":{"columns":["name",
"host","prefix","kind","timeout_ms","max_attempts","service"],"rows":[["r",
"a.example","/x/","safe",2000,2,"s"]]},
"services":{"columns":["name"],"rows":[["s"]]}})";

  StoreFleet(std::size_t hosts,
             const std::vector<std::uint16_t>& endpoints,
             const std::string& routes = kRoutes,
             AdjustSettings adjust = {})
      : adjust_(std::move(adjust)) {
    store_.PutJson("op/config", routes);
    for (std::size_t n = 0; n < endpoints.size(); ++n) {
      store_.PutJson("servers/i-" + std::to_string(n),
                     R"({"address":"127.0.0.1:)" +
                         std::to_string(endpoints[n]) +
                         R"(","info":{"service":"s","version":"v1","zone":"z1",
"slots":4},"status":{"state":"ready","sequence":1,"cold_ms":0}})");
    }
    FreePorts ports;
    const SocketAddress seed{"127.0.0.1", ports.Take()};
    for (std::size_t n = 0; n < hosts; ++n) {
      const SocketAddress address =
          n == 0 ? seed : SocketAddress{"127.0.0.1", ports.Take()};
      Start("h" + std::to_string(n), address, seed);
    }
  }

  std::vector<std::uint16_t> ports() const {
    return detail::CallerPorts(daemons_);
  }

  const StoreDaemon& daemon(std::size_t n) const { return *daemons_[n]; }

  // The header with the call ID.
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
    if (adjust_) {
      adjust_(settings);
    }
    daemons_.push_back(std::make_unique<StoreDaemon>(settings));
    Try([&] { return daemons_.back()->Start(); },
        [](const Error& error) { FAIL(ToString(error)); });
    CHECK(detail::Eventually([&] { return daemons_.back()->Ready(); }));
  }

  const AdjustSettings adjust_;
  StandinStore store_;
  std::vector<std::unique_ptr<StoreDaemon>> daemons_;
};

// Load balancer hosts of a deployment with documents; calls to "/dispatch" with
// the key "key" are routed to the given endpoints.
class DocumentFleet {
 public:
  static constexpr auto kRequests =
      R"([{"service": "dispatch", "idempotent": true}])";

  DocumentFleet(std::size_t hosts,
                const std::vector<std::uint16_t>& endpoints,
                const std::string& requests = kRequests,
                AdjustSettings adjust = {})
      : adjust_(std::move(adjust)) {
    const std::uint16_t platform = platform_.Start(0);
    // The key is "key".
    platform_.Publish("contracts", R"({"contracts": [{"customer": "keepers",
      "key_sha256": [
"2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"],
      "limits": {"in_flight": 2000}, "requests": )" +
                                       requests + "}]}");
    std::string list;
    for (std::size_t n = 0; n < endpoints.size(); ++n) {
      list += std::string(n == 0 ? "" : ",") + R"({"id": "e)" +
              std::to_string(n) + R"(", "address": "127.0.0.1:)" +
              std::to_string(endpoints[n]) + R"(", "zone": "z1", "slots": 4})";
    }
    platform_.Publish("services",
                      R"({"services": [{"id": "dispatch", "prefix": "/dispatch",
"endpoints": [)" + list + "]}]}");
    FreePorts ports;
    std::string list_of_hosts;
    std::vector<SocketAddress> addresses;
    for (std::size_t n = 0; n < hosts; ++n) {
      addresses.push_back({"127.0.0.1", ports.Take()});
      list_of_hosts += std::string(n == 0 ? "" : ",") + R"({"id": "h)" +
                       std::to_string(n) +
                       R"(", "zone": "z1", "peer_address": ")" +
                       ToString(addresses.back()) + R"("})";
    }
    platform_.Publish("hosts", R"({"hosts": [)" + list_of_hosts + "]}");
    for (std::size_t n = 0; n < hosts; ++n) {
      Start("h" + std::to_string(n), addresses[n], platform);
    }
    for (const auto& it : daemons_) {
      CHECK(detail::Eventually([&] { return it->Ready(); }));
    }
  }

  std::vector<std::uint16_t> ports() const {
    return detail::CallerPorts(daemons_);
  }

  Daemon& daemon(std::size_t n) { return *daemons_[n]; }
  const Daemon& daemon(std::size_t n) const { return *daemons_[n]; }

  // The header with the call ID.
  static constexpr auto kCall = "Damasktack-Call";

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
    settings.platform.watch = std::chrono::milliseconds(200);
    settings.fleet.enabled = true;
    settings.fleet.listen = address;
    settings.fleet.key = "a key of the fleet";
    settings.stop.lag = Duration::zero();
    if (adjust_) {
      adjust_(settings);
    }
    daemons_.push_back(std::make_unique<Daemon>(settings));
    Try([&] { return daemons_.back()->Start(); },
        [](const Error& error) { FAIL(ToString(error)); });
  }

  const AdjustSettings adjust_;
  StandinPlatform platform_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
};

}  // namespace damasktack

#endif  // TESTS_SUPPORT_DAEMON_FLEETS_H_
