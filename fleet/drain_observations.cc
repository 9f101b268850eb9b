#include "fleet/drain_observations.h"

#include <utility>

namespace damasktack {

void DrainObservations::OnObserved(const DrainObservation& observation,
                                   TimePoint now,
                                   Outbox& out) {
  if (sent_.contains(observation) || sent_.size() >= kMaxObservations) {
    return;
  }
  sent_.emplace(observation, now);
  for (const HostId& it : peers_) {
    out.Send(it, observation);
  }
}

std::set<DrainObservation> DrainObservations::TakeReceived() {
  return std::exchange(received_, {});
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
  const auto* observation = std::get_if<DrainObservation>(&message);
  if (observation != nullptr && received_.size() < kMaxObservations) {
    received_.insert(*observation);
  }
}

void DrainObservations::Tick(TimePoint now, Outbox& /*out*/) {
  std::erase_if(sent_, [&](const auto& entry) {
    return now - entry.second >= kRepeatInterval;
  });
}

}  // namespace damasktack
