#ifndef TESTS_SOAK_SOAK_FLEET_H_
#define TESTS_SOAK_SOAK_FLEET_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "platform/standin/standin_store.h"
#include "standin/free_ports.h"
#include "tests/soak/fault_proxy.h"
#include "tests/soak/slot_endpoints.h"
#include "tests/soak/soak_endpoint.h"
#include "tests/soak/soak_ledger.h"
#include "tests/support/crashing_endpoint.h"
#include "tests/system/child_process.h"

namespace damasktack {

struct SoakSize {
  int hosts = 5;
  int endpoints = 6;
  // Of the service whose endpoints become cold.
  int cold_endpoints = 6;
};

// Daemons as separate processes, a store and endpoints in this one, and a fault
// proxy on each way: callers to hosts, hosts to the store, to endpoints and to
// seeds. One thread changes it; the counters may be read by others.
class SoakFleet {
 public:
  SoakFleet(const SoakSize& size, SoakLedger& ledger);
  ~SoakFleet();

  int hosts() const { return static_cast<int>(hosts_.size()); }
  int endpoints() const { return static_cast<int>(endpoints_.size()); }

  // Where callers reach a host, through its proxy, and a host itself.
  SocketAddress CallersOf(int host) const {
    return {"127.0.0.1", hosts_[host].caller_link};
  }
  SocketAddress DirectOf(int host) const { return At(hosts_[host].callers); }
  std::vector<SocketAddress> AllDirect() const;
  SocketAddress AdminOf(int host) const { return At(hosts_[host].admin); }
  // Goes up with each start of the host's process.
  int LifeOf(int host) const { return lives_[host]; }

  // Publishes the next version, in which "/v<version>/" replaces the route of
  // the version before.
  void PublishNextVersion();
  int version() const { return version_; }

  void Kill(int host);
  void Terminate(int host);
  void Pause(int host, bool paused);
  void HangUp(int host);

  enum class Way : std::uint8_t { kCallers, kStore, kPeers, kEndpoint };
  // `n` is a host, or an endpoint for the last way.
  void SetFault(Way way, int n, LinkFault fault, Duration delay);
  StandinStore& store() { return store_; }

  // An endpoint reports that it leaves; then its entry goes; then a new one
  // takes its address.
  void Drain(int endpoint);
  void Remove(int endpoint);
  void Renew(int endpoint);
  SoakEndpoint& endpoint(int n) { return *endpoints_[n].server; }

  static constexpr int kZones = 2;
  static int ZoneOf(int endpoint) { return endpoint % kZones; }
  // The operator's order that a zone is to get no calls, and its end.
  void DrainZone(int zone);
  void ReleaseZone(int zone);

  // The endpoints of a service of their own that become cold, the requests that
  // one of them bears within a second, and for how long one is cold.
  SlotEndpoints& cold_endpoints() { return cold_endpoints_; }
  static constexpr std::size_t kMostInColdSecond = 11;
  static constexpr Duration kColdTime = std::chrono::seconds(3);
  // The entry of one says for how long it stays cold.
  void TellCold(int n);

  // Endpoints of a service of their own that have ended under requests which
  // crash what runs them.
  int crashes() const;

  // Starts hosts that have ended again, and looks after those that stop.
  void Tick(TimePoint now);
  bool AllRun() const;

 private:
  struct Host {
    std::uint16_t callers = 0;
    std::uint16_t admin = 0;
    std::uint16_t peers = 0;
    std::uint16_t caller_link = 0;
    std::uint16_t store_link = 0;
    std::uint16_t peer_link = 0;
    std::unique_ptr<ChildProcess> process;
    bool is_paused = false;
    // A planned stop that nothing else has disturbed, and one in all.
    std::optional<TimePoint> terminated_at;
    bool is_undisturbed = true;
    bool was_killed = false;
    std::optional<TimePoint> restart_at;
  };
  struct Endpoint {
    std::unique_ptr<SoakEndpoint> server;
    std::uint16_t link = 0;
    int life = 0;
  };

  SocketAddress At(std::uint16_t port) const { return {ip_, port}; }
  void StartHost(int n);
  std::string SettingsOf(int n) const;
  std::string PathOf(int n, const std::string& suffix) const;
  void PutEndpoint(int n, const std::string& state);
  void PutFragileEndpoints();
  void CheckStop(int n, TimePoint now);

  SoakLedger& ledger_;
  const std::string folder_;
  // Each run has an address of its own, so that a port that a host has left for
  // a moment is not taken by another run beside it.
  const std::string ip_;
  FreePorts ports_;
  StandinStore store_{100};
  FaultProxies proxies_;
  std::vector<Host> hosts_;
  std::vector<std::atomic<int>> lives_;
  std::vector<Endpoint> endpoints_;
  std::vector<std::unique_ptr<CrashingEndpoint>> fragile_;
  SlotEndpoints cold_endpoints_;
  std::atomic<int> version_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_FLEET_H_
