#include "fleet/drain_observations.h"

#include <utility>

namespace damasktack {

void DrainObservations::OnObserved(const DrainObservation& sighting,
                                   TimePoint now,
                                   Outbox& out) {
  if (sent_.contains(sighting) || sent_.size() >= kMost) {
    return;
  }
  sent_.emplace(sighting, now);
  for (const HostId& it : peers_) {
    out.Send(it, sighting);
  }
}

std::set<DrainObservation> DrainObservations::TakeReceived() {
  return std::exchange(heard_, {});
}

void DrainObservations::OnView(const HostView& view,
                               TimePoint /*now*/,
                               Outbox& /*out*/) {
  peers_.clear();
  for (const PeerView& it : view.peers) {
    if (it.reachable) {
      peers_.push_back(it.id);
    }
  }
}

void DrainObservations::OnMessage(const Sender& /*sender*/,
                                  const PeerMessage& message,
                                  TimePoint /*now*/,
                                  Outbox& /*out*/) {
  const auto* sighting = std::get_if<DrainObservation>(&message);
  if (sighting != nullptr && heard_.size() < kMost) {
    heard_.insert(*sighting);
  }
}

void DrainObservations::Tick(TimePoint now, Outbox& /*out*/) {
  std::erase_if(
      sent_, [&](const auto& entry) { return now - entry.second >= kRepeat; });
}

}  // namespace damasktack
