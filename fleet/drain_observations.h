#ifndef FLEET_DRAIN_OBSERVATIONS_H_
#define FLEET_DRAIN_OBSERVATIONS_H_

#include <map>
#include <set>
#include <vector>

#include "fleet/fleet_module.h"

namespace damasktack {

// Tells peers which endpoints have announced that they are draining, so that a
// host that has not called such an endpoint lately also stops sending to it
// before the endpoint list says so. A host sends only the announcements made to
// itself, and peers do not forward them. Does no I/O.
class DrainObservations {
 public:
  // Minimum interval between two messages on the same endpoint. Messages are
  // repeated while the endpoint still announces the drain, in case one is lost.
  static constexpr Duration kRepeatInterval = std::chrono::seconds(1);
  // Maximum number of observations sent that are remembered, and of those
  // received that wait for TakeReceived.
  static constexpr std::size_t kMaxObservations = 4096;

  // Records that an endpoint has announced to this host that it is draining,
  // and tells the peers.
  void OnObserved(const DrainObservation& observation,
                  TimePoint now,
                  Outbox& out);
  // Returns and clears the observations received from peers.
  std::set<DrainObservation> TakeReceived();

  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out);

 private:
  std::vector<HostId> peers_;
  // Observations sent within the repeat interval, with the time of sending.
  std::map<DrainObservation, TimePoint> sent_;
  std::set<DrainObservation> received_;
};

}  // namespace damasktack

#endif  // FLEET_DRAIN_OBSERVATIONS_H_
