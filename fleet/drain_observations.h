#ifndef FLEET_DRAIN_OBSERVATIONS_H_
#define FLEET_DRAIN_OBSERVATIONS_H_

#include <map>
#include <set>
#include <vector>

#include "fleet/fleet_module.h"

namespace damasktack {

// Passes on which endpoints were seen draining, so that a host that has not
// called one lately stops too before the list says so. One hop: a host passes
// on only what an endpoint told it itself. Pure.
class DrainObservations {
 public:
  // The same sighting goes out at most this often; a repeat makes up for a
  // lost message while the endpoint still says so.
  static constexpr Duration kRepeat = std::chrono::seconds(1);
  // Bounds on what is remembered and on what waits for TakeReceived.
  static constexpr std::size_t kMost = 4096;

  // An endpoint has told this host that it drains.
  void OnObserved(const DrainObservation& sighting, TimePoint now, Outbox& out);
  // What peers have passed on since the last call.
  std::set<DrainObservation> TakeReceived();

  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out);

 private:
  std::vector<HostId> peers_;
  std::map<DrainObservation, TimePoint> sent_;
  std::set<DrainObservation> heard_;
};

}  // namespace damasktack

#endif  // FLEET_DRAIN_OBSERVATIONS_H_
