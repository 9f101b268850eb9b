#include "fleet/relay_exchange.h"

namespace damasktack {

std::vector<HostId> RelayExchange::Seeds() const {
  std::vector<HostId> seeds;
  for (const auto& [host, role] : peers_) {
    if (role == RelayPeerRole::kSeed) {
      seeds.push_back(host);
    }
  }
  return seeds;
}

void RelayExchange::OnPeer(const HostId& host,
                           RelayPeerRole role,
                           Outbox& out) {
  const auto [it, is_new] = peers_.try_emplace(host, role);
  const bool is_known = !is_new && it->second == role;
  it->second = role;
  if (is_known || role != RelayPeerRole::kSeed) {
    return;
  }
  UpdateOwnOffer();
  RelayOffers message{table_.Direct()};
  std::erase_if(message.offers, [&](const RelayOffers::Offer& offer) {
    return offer.host.host == host;
  });
  if (!message.offers.empty()) {
    out.Send(host, std::move(message));
  }
}

void RelayExchange::OnPeerGone(const HostId& host, Outbox& out) {
  peers_.erase(host);
  RelayOffers withdrawn;
  for (RelayOffers::Offer& it : table_.RemoveSource(host)) {
    if (it.host.host == host) {
      it.is_withdrawn = true;
      withdrawn.offers.push_back(std::move(it));
    }
  }
  const std::vector<HostId> seeds = Seeds();
  if (!withdrawn.offers.empty() && !seeds.empty()) {
    out.SendToAll(seeds, std::move(withdrawn));
  }
  ChooseOwnPeers();
}

void RelayExchange::OnOffers(const HostId& from,
                             const RelayOffers& message,
                             Outbox& out) {
  UpdateOwnOffer();
  const auto peer = peers_.find(from);
  const bool is_seed =
      peer != peers_.end() && peer->second == RelayPeerRole::kSeed;
  RelayOffers forwarded;
  for (const RelayOffers::Offer& it : message.offers) {
    const bool is_own = it.host.host == from;
    if (!is_own && !is_seed) {
      continue;
    }
    table_.Set(from, it);
    if (is_own && !is_seed) {
      forwarded.offers.push_back(it);
      out.Send(from, RelayPeers{table_.Choose(it, random_)});
    }
  }
  const std::vector<HostId> seeds = Seeds();
  if (!forwarded.offers.empty() && !seeds.empty()) {
    out.SendToAll(seeds, std::move(forwarded));
  }
  ChooseOwnPeers();
}

void RelayExchange::OnPeers(const RelayPeers& message) {
  directory_.SetPeers(message.hosts);
}

void RelayExchange::Share(TimePoint /*now*/, Outbox& out) {
  if (!directory_.TakeUpdate()) {
    return;
  }
  UpdateOwnOffer();
  ChooseOwnPeers();
  const std::vector<HostId> seeds = Seeds();
  const auto own = directory_.Offer();
  if (own && !seeds.empty()) {
    out.SendToAll(seeds, RelayOffers{{*own}});
  }
}

void RelayExchange::UpdateOwnOffer() {
  if (const auto own = directory_.Offer()) {
    table_.Set(own->host.host, *own);
  }
}

void RelayExchange::ChooseOwnPeers() {
  const auto own = directory_.Offer();
  const bool knows_others = table_.size() > 1;
  if (own && !own->unreachable.empty() && knows_others) {
    directory_.SetPeers(table_.Choose(*own, random_));
  }
}

}  // namespace damasktack
