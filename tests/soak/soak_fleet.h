#ifndef TESTS_SOAK_SOAK_FLEET_H_
#define TESTS_SOAK_SOAK_FLEET_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "platform/standin/standin_store.h"
#include "standin/free_ports.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/slot_endpoints.h"
#include "tests/soak/soak_endpoint.h"
#include "tests/soak/soak_recorder.h"
#include "tests/support/crashing_endpoint.h"
#include "tests/system/child_process.h"

namespace damasktack {

struct SoakSize {
  int hosts = 5;
  int endpoints = 6;
  // Endpoints of the service whose endpoints become cold.
  int cold_endpoints = 6;
};

// Runs a fleet of daemons as separate processes, with a store and endpoints in
// this process and a fault proxy on each link: callers to hosts, and hosts to
// the store, to endpoints and to seeds. Only one thread may modify it; other
// threads may read the counters.
class SoakFleet {
 public:
  SoakFleet(const SoakSize& size, SoakRecorder& ledger);
  ~SoakFleet();

  int hosts() const { return static_cast<int>(hosts_.size()); }
  int endpoints() const { return static_cast<int>(endpoints_.size()); }

  // Address of a host through its fault proxy, and without it.
  SocketAddress CallerAddress(int host) const {
    return {"127.0.0.1", hosts_[host].caller_link};
  }
  SocketAddress DirectAddress(int host) const {
    return At(hosts_[host].callers);
  }
  std::vector<SocketAddress> AllDirectAddresses() const;
  SocketAddress AdminAddress(int host) const { return At(hosts_[host].admin); }
  // Number of times that the host's process was started.
  int GenerationOf(int host) const { return generations_[host]; }

  // Publishes the next configuration version, in which the route
  // "/v<version>/" replaces that of the previous version.
  void PublishNextVersion();
  int version() const { return version_; }

  void Kill(int host);
  void Terminate(int host);
  void Pause(int host, bool paused);
  void SendHangup(int host);

  enum class LinkKind : std::uint8_t { kCallers, kStore, kPeers, kEndpoint };
  // `n` is the index of an endpoint for kEndpoint, of a host otherwise.
  void SetFault(LinkKind link_kind, int n, LinkFault fault, Duration delay);
  // Partitions hosts from the endpoints of the service that most calls go to,
  // and from nothing else. An empty set ends the partition.
  void PartitionFromEndpoints(const std::set<int>& hosts, Partition partition);
  // Lets the store return from its last copy. The operator and the endpoints
  // write again what they had written.
  void ReturnStore();
  StandinStore& store() { return store_; }

  // The steps by which an endpoint is replaced: its entry says that it drains,
  // the entry is removed, and a new endpoint takes over the address.
  void Drain(int endpoint);
  void Remove(int endpoint);
  void Replace(int endpoint);
  SoakEndpoint& endpoint(int n) { return *endpoints_[n].server; }

  static constexpr int kZones = 2;
  static int ZoneOf(int endpoint) { return endpoint % kZones; }
  // Sets and removes the operator's order that a zone gets no calls.
  void DrainZone(int zone);
  void ReleaseZone(int zone);

  // The endpoints of the service whose endpoints become cold, the largest
  // number of requests that one may get within a second, and how long one stays
  // cold.
  SlotEndpoints& cold_endpoints() { return cold_endpoints_; }
  static constexpr std::size_t kMaxColdRequestsPerSecond = 11;
  static constexpr Duration kColdTime = std::chrono::seconds(3);
  // Publishes in the endpoint's entry for how long it stays cold.
  void PublishColdState(int n);

  // Number of endpoint crashes in the service that gets the crashing requests.
  int crashes() const;

  // Restarts hosts that have exited, and checks that stopping hosts exit within
  // the grace period.
  void Tick(TimePoint now);
  bool AllRun() const;

 private:
  struct Host {
    std::uint16_t callers = 0;
    std::uint16_t admin = 0;
    std::uint16_t peers = 0;
    std::uint16_t relays = 0;
    std::uint16_t caller_link = 0;
    std::uint16_t store_link = 0;
    std::uint16_t peer_link = 0;
    std::unique_ptr<ChildProcess> process;
    bool is_paused = false;
    // Time of SIGTERM, and whether no pause disturbed the stop.
    std::optional<TimePoint> terminated_at;
    bool is_undisturbed = true;
    bool was_killed = false;
    std::optional<TimePoint> restart_at;
  };
  struct Endpoint {
    std::unique_ptr<SoakEndpoint> server;
    std::uint16_t link = 0;
    int generation = 0;
  };

  SocketAddress At(std::uint16_t port) const { return {ip_, port}; }
  void Write(const std::string& key, const std::string& json);
  void Erase(const std::string& key);
  void StartHost(int n);
  std::string SettingsOf(int n) const;
  std::string PathOf(int n, const std::string& suffix) const;
  void PutEndpoint(int n, const std::string& state);
  void PutFragileEndpoints();
  void CheckStop(int n, TimePoint now);

  SoakRecorder& ledger_;
  const std::string folder_;
  // Each run has its own loopback address, so that a concurrent run can't take
  // the port of a host that is being restarted.
  const std::string ip_;
  FreePorts ports_;
  StandinStore store_{100};
  // The last value written to each key; null if it was removed.
  std::map<std::string, std::optional<std::string>> written_;
  FaultProxies proxies_;
  std::vector<Host> hosts_;
  std::vector<std::atomic<int>> generations_;
  std::vector<Endpoint> endpoints_;
  std::vector<std::unique_ptr<CrashingEndpoint>> fragile_;
  SlotEndpoints cold_endpoints_;
  std::atomic<int> version_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_FLEET_H_
