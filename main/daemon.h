#ifndef MAIN_DAEMON_H_
#define MAIN_DAEMON_H_

#include <atomic>
#include <mutex>
#include <optional>
#include <thread>

#include "admin/admin_server.h"
#include "main/fleet_node.h"
#include "main/settings.h"
#include "proxy/caller_server.h"

namespace damasktack {

// The load balancer daemon of one host, for deployments that publish documents.
class Daemon : public AdminSource, private FleetNodeEvents {
 public:
  explicit Daemon(Settings settings);
  ~Daemon() override;

  leaf::result<void> Start();
  // Stops gracefully: reports "not ready", serves on for the configured lag,
  // finishes all calls in flight, then ends.
  void Stop();

  std::uint16_t caller_port() const { return callers_.port(); }
  FleetNode& fleet() { return fleet_; }
  const FleetLimitGate& limits() const { return limits_; }
  const FleetClaimGate& claims() const { return claims_; }

  // Implementation of AdminSource, in daemon_admin.cc.
  bool Ready() const override;
  std::string Metrics() const override;
  HostReport Host() const override;
  std::vector<DocumentReport> Documents() const override;
  std::vector<Contract> Contracts() const override;
  std::vector<PeerReport> Peers() const override;
  std::vector<ServiceReport> Services() const override;
  std::vector<CustomerReport> Customers() const override;
  std::vector<CallMetrics::SeriesReport> Histograms() const override;
  void SetDrained(bool drained) override;
  leaf::result<void> DeclareGone(const HostId& host) override;

 private:
  void OnInForce(const Document& document) override;
  void OnRefused(DocumentName name, const DocumentRefusal& refusal) override;
  void OnPeerDrainObserved(const DrainObservation& observation) override;
  void PutInForce();
  void RelayDrains();
  void WaitForHandover(TimePoint stop_began) const;

  const Settings settings_;
  const Incarnation incarnation_;
  FleetLimitGate limits_;
  FleetClaimGate claims_;
  ProxyState state_;
  CallerServer callers_;
  AdminServer admin_;

  mutable std::mutex mutex_;
  std::optional<ContractList> contracts_;
  std::optional<ServiceList> services_;
  std::optional<HostList> hosts_;
  const TimePoint started_at_ = Clock::now();
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> ended_ = false;
  std::atomic<bool> drained_ = false;
  // Declared last, so that it calls back only while all other members exist.
  FleetNode fleet_;
  std::thread drain_relay_;
};

}  // namespace damasktack

#endif  // MAIN_DAEMON_H_
