#include "fleet/drain_sightings.h"

#include <utility>

namespace damasktack {

void DrainSightings::Sighted(const DrainSighting& observation,
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

std::set<DrainSighting> DrainSightings::TakeHeard() {
  return std::exchange(received_, {});
}

void DrainSightings::OnView(const HostView& view,
                            TimePoint /*now*/,
                            Outbox& /*out*/) {
  peers_.clear();
  for (const PeerView& it : view.peers) {
    if (it.reachable) {
      peers_.push_back(it.id);
    }
  }
}

void DrainSightings::OnMessage(const Sender& /*sender*/,
                               const PeerMessage& message,
                               TimePoint /*now*/,
                               Outbox& /*out*/) {
  const auto* observation = std::get_if<DrainSighting>(&message);
  if (observation != nullptr && received_.size() < kMaxObservations) {
    received_.insert(*observation);
  }
}

void DrainSightings::Tick(TimePoint now, Outbox& /*out*/) {
  std::erase_if(sent_, [&](const auto& entry) {
    return now - entry.second >= kRepeatInterval;
  });
}

}  // namespace damasktack
