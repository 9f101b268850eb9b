#include "fleet/relay_table.h"

#include <algorithm>

namespace damasktack {

namespace {

bool Reaches(const RelayOffers::Offer& offer,
             const std::vector<ServiceId>& services) {
  return std::ranges::none_of(offer.unreachable, [&](const ServiceId& it) {
    return std::ranges::find(services, it) != services.end();
  });
}

}  // namespace

void RelayTable::Set(const HostId& source, const RelayOffers::Offer& offer) {
  const HostId& host = offer.host.host;
  const auto it = entries_.find(host);
  if (offer.is_withdrawn) {
    if (it != entries_.end() && it->second.source == source) {
      entries_.erase(it);
    }
    return;
  }
  // The link to the host itself outlasts those of the seeds that forward its
  // offer.
  const bool is_direct = it != entries_.end() && it->second.source == host;
  entries_[host] = {offer, is_direct ? host : source};
}

std::vector<RelayOffers::Offer> RelayTable::RemoveSource(const HostId& source) {
  std::vector<RelayOffers::Offer> removed;
  for (auto it = entries_.begin(); it != entries_.end();) {
    if (it->second.source != source) {
      ++it;
      continue;
    }
    removed.push_back(it->second.offer);
    it = entries_.erase(it);
  }
  return removed;
}

std::vector<RelayOffers::Offer> RelayTable::Direct() const {
  std::vector<RelayOffers::Offer> offers;
  for (const auto& [host, entry] : entries_) {
    if (entry.source == host) {
      offers.push_back(entry.offer);
    }
  }
  return offers;
}

std::vector<RelayHost> RelayTable::Choose(const RelayOffers::Offer& host,
                                          Random& random) const {
  std::vector<ServiceId> services = host.unreachable;
  std::erase_if(services, [&](const ServiceId& service) {
    return std::ranges::none_of(entries_, [&](const auto& it) {
      return Reaches(it.second.offer, {service});
    });
  });
  std::vector<const RelayHost*> near;
  std::vector<const RelayHost*> far;
  for (const auto& [id, entry] : entries_) {
    const RelayHost& candidate = entry.offer.host;
    if (id == host.host.host || !Reaches(entry.offer, services)) {
      continue;
    }
    const bool is_near = candidate.zone == host.host.zone;
    (is_near ? near : far).push_back(&candidate);
  }
  std::ranges::shuffle(near, random);
  std::ranges::shuffle(far, random);
  const std::size_t reserved =
      std::min(far.size(), kMaxPeers - kMaxPeersOfZone);
  near.resize(std::min(near.size(), kMaxPeers - reserved));
  far.resize(std::min(far.size(), kMaxPeers - near.size()));
  std::vector<RelayHost> chosen;
  for (const auto& list : {near, far}) {
    for (const RelayHost* it : list) {
      chosen.push_back(*it);
    }
  }
  return chosen;
}

}  // namespace damasktack
