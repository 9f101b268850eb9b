#ifndef MAIN_STORE_DAEMON_H_
#define MAIN_STORE_DAEMON_H_

#include <atomic>
#include <memory>
#include <mutex>

#include "admin/admin_server.h"
#include "fleet/claim_gate.h"
#include "fleet/limit_gate.h"
#include "fleet/published_loop.h"
#include "main/settings.h"
#include "platform/kv_client.h"
#include "proxy/caller_server.h"
#include "wire/websocket_transport.h"

namespace damasktack {

// The load balancer daemon of one host, for deployments that publish routes and
// endpoints in a key-value store. Serves callers, calls endpoints, reads the
// store and offers the public part of the administration API.
class StoreDaemon : public AdminSource, private PublishedLoopEvents {
 public:
  explicit StoreDaemon(Settings settings);
  ~StoreDaemon() override;

  leaf::result<void> Start();
  // Stops gracefully: reports "not ready", serves on for the configured lag,
  // finishes all calls in flight, then ends.
  void Stop();
  // Applies the settings that can be changed in a running host (see
  // main/settings_snapshot.h) without aborting a call, and logs those that need
  // a restart. Must be called on the thread that calls Stop.
  void Reload(const Settings& new_settings);

  std::uint16_t caller_port() const { return callers_.port(); }

  bool Ready() const override;
  std::string Metrics() const override;
  HostReport Host() const override;
  std::vector<DocumentReport> Documents() const override { return {}; }
  std::vector<Contract> Contracts() const override;
  std::vector<PeerReport> Peers() const override { return {}; }
  std::vector<ServiceReport> Services() const override;
  std::vector<CustomerReport> Customers() const override { return {}; }
  std::vector<CallMetrics::SeriesReport> Histograms() const override;
  void SetDrained(bool drained) override;
  leaf::result<void> DeclareGone(const HostId& host) override;

 private:
  void OnPublished(const PublishedState& state) override;
  void StopPublished();
  void LogChange(const PublishedState& state) const;
  void SetDrainedZones(const PublishedState& state);
  std::vector<ZoneId> GetDrainedZones() const;

  // Other threads read only the settings that Reload does not change.
  Settings settings_;
  OpenLimitGate limits_;
  OpenClaimGate claims_;
  ProxyState state_;
  CallerServer callers_;
  AdminServer admin_;
  KvClient source_;
  PublishedLoop published_;
  // Null if this host runs without peers.
  std::unique_ptr<WebsocketTransport> transport_;
  const TimePoint started_at_ = Clock::now();
  // Whether routes have been loaded. Distinguishes an unknown path from routes
  // that have not been read yet.
  std::atomic<bool> has_routes_ = false;
  mutable std::mutex drained_zones_mutex_;
  std::vector<ZoneId> drained_zones_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> drained_ = false;
};

}  // namespace damasktack

#endif  // MAIN_STORE_DAEMON_H_
