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

// One entry host of a deployment that publishes routes and endpoints in a
// key-value store: callers, endpoints, the reader and the open part of the
// administration API.
class StoreDaemon : public AdminSource, private PublishedLoopEvents {
 public:
  explicit StoreDaemon(Settings settings);
  ~StoreDaemon() override;

  leaf::result<void> Start();
  // Graceful stop: readiness off, the lag, every call in flight, then the end.
  void Stop();
  // Takes in what a running host can (main/settings_snapshot.h) without cutting
  // a call, and logs what waits for a restart. On the thread that calls Stop.
  void Reload(const Settings& wanted);

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
  void KeepDrainedZones(const PublishedState& state);
  std::vector<ZoneId> DrainedZonesInForce() const;

  // Other threads read what Reload leaves alone.
  Settings settings_;
  OpenLimitGate limits_;
  OpenClaimGate claims_;
  ProxyState state_;
  CallerServer callers_;
  AdminServer admin_;
  KvClient source_;
  PublishedLoop published_;
  // Null where this host runs alone.
  std::unique_ptr<WebsocketTransport> transport_;
  const TimePoint started_at_ = Clock::now();
  // Routes are known, so that an unknown path can be told from an unread one.
  std::atomic<bool> has_routes_ = false;
  mutable std::mutex drained_zones_mutex_;
  std::vector<ZoneId> drained_zones_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> drained_ = false;
};

}  // namespace damasktack

#endif  // MAIN_STORE_DAEMON_H_
