#ifndef FLEET_ENDPOINT_RATE_EXCHANGE_H_
#define FLEET_ENDPOINT_RATE_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "fleet/endpoint_rates.h"
#include "fleet/fleet_module.h"

namespace damasktack {

// The connections between the hosts of a fleet.
enum class FleetTopology : std::uint8_t {
  // Full mesh. A host sends the statements made to itself to all others.
  kMesh,
  // Hosts are connected to a few seeds, which relay statements that are new to
  // them.
  kStar,
};

// Exchanges the rate limits stated by endpoints with other hosts, so that a
// host keeps to its share of a limit before the endpoint has stated the limit
// to it. Not thread-safe; EndpointRates is.
class EndpointRateExchange {
 public:
  EndpointRateExchange(EndpointRates& rates, FleetTopology topology)
      : rates_(rates), topology_(topology) {}

  // Sets a function that runs when there are updates to share, on the thread
  // that caused them.
  void SetOnUpdates(std::function<void()> on_updates) {
    rates_.SetOnUpdates(std::move(on_updates));
  }

  // Adds a peer and sends it all limits in force. Does nothing if the peer is
  // known.
  void OnPeer(const HostId& host, TimePoint now, Outbox& out);
  void OnPeerGone(const HostId& host) { peers_.erase(host); }
  void OnReport(const HostId& from,
                const EndpointRateReport& report,
                TimePoint now,
                Outbox& out);
  // Sends the statements made to this host since the last call to its peers.
  void Share(TimePoint now, Outbox& out);

  // The FleetModule interface, for a fleet that is a full mesh.
  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out) { Share(now, out); }

 private:
  void SendToPeers(const std::vector<StatedRate>& updates,
                   const HostId& excluded,
                   TimePoint now,
                   Outbox& out) const;

  EndpointRates& rates_;
  const FleetTopology topology_;
  // The peers and their incarnations; 0 if the incarnation is not known.
  std::map<HostId, Incarnation> peers_;
};

}  // namespace damasktack

#endif  // FLEET_ENDPOINT_RATE_EXCHANGE_H_
