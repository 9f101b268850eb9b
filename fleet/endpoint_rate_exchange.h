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

// How what hosts say to each other spreads.
enum class FleetTopology : std::uint8_t {
  // All hosts are linked: each tells all others what it was told itself.
  kMesh,
  // Hosts are linked to a few that pass on what is new to them.
  kStar,
};

// Exchanges the rate limits that endpoints state, so that hosts keep to their
// part of a limit before they have met it themselves. Not thread-safe; the
// rates are.
class EndpointRateExchange {
 public:
  EndpointRateExchange(EndpointRates& rates, FleetTopology shape)
      : rates_(rates), shape_(shape) {}

  // Runs when there is news to Share, on the thread that brought it.
  void SetOnUpdates(std::function<void()> on_news) {
    rates_.SetOnUpdates(std::move(on_news));
  }

  // A peer that has no link yet hears of all limits in force.
  void OnPeer(const HostId& host, TimePoint now, Outbox& out);
  void OnPeerGone(const HostId& host) { peers_.erase(host); }
  void OnReport(const HostId& from,
                const EndpointRateReport& report,
                TimePoint now,
                Outbox& out);
  // Tells the peers what this host was told since the last call.
  void Share(TimePoint now, Outbox& out);

  // As a module of a fleet in which all hosts are linked.
  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out) { Share(now, out); }

 private:
  void Tell(const std::vector<StatedRate>& news,
            const HostId& but,
            TimePoint now,
            Outbox& out) const;

  EndpointRates& rates_;
  const FleetTopology shape_;
  // With the process of each where the fleet tells it.
  std::map<HostId, Incarnation> peers_;
};

}  // namespace damasktack

#endif  // FLEET_ENDPOINT_RATE_EXCHANGE_H_
