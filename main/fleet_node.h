#ifndef MAIN_FLEET_NODE_H_
#define MAIN_FLEET_NODE_H_

#include <memory>

#include "core/ids.h"
#include "fleet/fleet_loop.h"
#include "fleet/platform_reader.h"
#include "main/fleet_settings.h"
#include "platform/http_platform_source.h"
#include "wire/websocket_transport.h"

namespace damasktack {

struct FleetNodeOptions {
  HostId host;
  ZoneId zone;
  // Of this process, from DrawIncarnation; drawn where it is 0.
  Incarnation incarnation = 0;
  FleetGates gates;
  SocketAddress platform;
  PlatformReaderOptions reader;
  FleetSettings fleet;
};

Incarnation DrawIncarnation();

// Hears of the documents that the fleet agreed on, on the fleet's thread.
class FleetNodeEvents {
 public:
  virtual ~FleetNodeEvents() = default;

  virtual void OnInForce(const Document& document) = 0;
  virtual void OnRefused(DocumentName name, const DocumentRefusal& refusal) = 0;
  // A peer has seen this endpoint drain.
  virtual void OnHeardDrain(const DrainObservation& sighting) = 0;
};

// This host's membership in the fleet: links, the fleet loop and the platform's
// reader, wired together.
class FleetNode : private FleetLoopEvents, private PlatformReaderEvents {
 public:
  FleetNode(const FleetNodeOptions& options, FleetNodeEvents& events);
  ~FleetNode() override;

  leaf::result<void> Start();
  // The graceful stop begins: peers hear it, others take over the reading.
  void Leave();
  // Tells the peers that an endpoint has told this host that it drains.
  void BroadcastDrain(const DrainObservation& sighting);
  // An operator has made sure that the last known process of `host` has ended;
  // the other hosts hear it from this one.
  void ConfirmGone(const HostId& host);
  // Says goodbye and ends links, loop and reader.
  void Stop();

  // Whether this host has checked what it believes; see FleetLoop::IsCurrent.
  bool IsReady() const { return loop_.IsCurrent(Clock::now()); }
  std::shared_ptr<const FleetState> state() const { return loop_.state(); }
  FleetLoop& loop() { return loop_; }
  Incarnation incarnation() const { return incarnation_; }
  // Where peers reach this host; 0 where it runs alone.
  std::uint16_t peer_port() const;
  TransportCounters transport_counters() const;
  PlatformReaderCounters reader_counters() const { return reader_.counters(); }
  // For tests of partitions only.
  void CutLinksTo(const std::vector<HostId>& hosts);

 private:
  void OnFleetState(std::shared_ptr<const FleetState> state) override;
  void OnHeardDrain(const DrainObservation& sighting) override {
    events_.OnHeardDrain(sighting);
  }
  void OnDocument(Document document) override;
  void OnQueried(DocumentName name, std::uint64_t check) override;
  void ReportDocuments(const FleetState& state);
  void UpdateReaderRole(const FleetState& state);

  const FleetNodeOptions options_;
  FleetNodeEvents& events_;
  const Incarnation incarnation_;
  FleetLoop loop_;
  // Null where this host runs alone.
  std::unique_ptr<WebsocketTransport> transport_;
  HttpPlatformSource source_;
  PlatformReader reader_;
  // What was told last; only the loop's thread uses it.
  FleetState told_;
  bool stopped_ = false;
};

}  // namespace damasktack

#endif  // MAIN_FLEET_NODE_H_
