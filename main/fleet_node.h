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
  // Incarnation of this process from DrawIncarnation; drawn by the node if it
  // is 0.
  Incarnation incarnation = 0;
  FleetGates gates;
  SocketAddress platform;
  PlatformReaderOptions reader;
  FleetSettings fleet;
};

Incarnation DrawIncarnation();

// Receives the documents that the fleet has agreed on. Called on the fleet
// loop's thread.
class FleetNodeEvents {
 public:
  virtual ~FleetNodeEvents() = default;

  virtual void OnInForce(const Document& document) = 0;
  virtual void OnRefused(DocumentName name, const DocumentRefusal& refusal) = 0;
  // A peer reports that an endpoint is draining.
  virtual void OnPeerDrainObserved(const DrainObservation& observation) = 0;
};

// This host's membership in the fleet. Connects the links to peers, the fleet
// loop and the reader of the platform.
class FleetNode : private FleetLoopEvents, private PlatformReaderEvents {
 public:
  FleetNode(const FleetNodeOptions& options, FleetNodeEvents& events);
  ~FleetNode() override;

  leaf::result<void> Start();
  // Informs the peers that this host is stopping, so that another host takes
  // over reading the platform.
  void Leave();
  // Informs the peers that an endpoint has reported to this host that it is
  // draining.
  void BroadcastDrain(const DrainObservation& observation);
  // Records that an operator has verified that the last known process of `host`
  // has ended. This host informs the other hosts.
  void ConfirmGone(const HostId& host);
  // Sends a leave message to the peers and stops links, loop and reader.
  void Stop();

  // Returns whether this host's state of the fleet has been verified; see
  // FleetLoop::IsCurrent.
  bool IsReady() const { return loop_.IsCurrent(Clock::now()); }
  std::shared_ptr<const FleetState> state() const { return loop_.state(); }
  FleetLoop& loop() { return loop_; }
  Incarnation incarnation() const { return incarnation_; }
  // Returns the port at which peers connect to this host; 0 if it runs without
  // peers.
  std::uint16_t peer_port() const;
  TransportCounters transport_counters() const;
  PlatformReaderCounters reader_counters() const { return reader_.counters(); }
  // Only for tests of partitions.
  void BlockLinksTo(const std::vector<HostId>& hosts);

 private:
  void OnFleetState(std::shared_ptr<const FleetState> state) override;
  void OnPeerDrainObserved(const DrainObservation& observation) override {
    events_.OnPeerDrainObserved(observation);
  }
  void OnDocument(Document document) override;
  void OnQueried(DocumentName name, std::uint64_t check) override;
  void ReportDocuments(const FleetState& state);
  void UpdateReaderRole(const FleetState& state);

  const FleetNodeOptions options_;
  FleetNodeEvents& events_;
  const Incarnation incarnation_;
  FleetLoop loop_;
  // Null if this host runs without peers.
  std::unique_ptr<WebsocketTransport> transport_;
  HttpPlatformSource source_;
  PlatformReader reader_;
  // Last state reported to `events_`; used only on the loop's thread.
  FleetState told_;
  bool stopped_ = false;
};

}  // namespace damasktack

#endif  // MAIN_FLEET_NODE_H_
