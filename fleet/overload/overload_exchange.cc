#include "fleet/overload/overload_exchange.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <variant>

namespace damasktack {

void OverloadExchange::OnPeer(const HostId& host, OverloadPeerRole role) {
  peers_[host] = role;
}

void OverloadExchange::OnPeerGone(const HostId& host) {
  peers_.erase(host);
  view_.Forget(host);
}

std::vector<HostId> OverloadExchange::PeersWith(OverloadPeerRole role) const {
  std::vector<HostId> hosts;
  for (const auto& [host, its_role] : peers_) {
    if (its_role == role) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::vector<HostId> OverloadExchange::SamplePeers() {
  const std::vector<HostId> all = PeersWith(OverloadPeerRole::kFollower);
  std::vector<HostId> sample;
  std::ranges::sample(all, std::back_inserter(sample),
                      static_cast<std::ptrdiff_t>(kMeshFanout), random_);
  return sample;
}

const HostId& OverloadExchange::ChooseSeed(const std::vector<HostId>& seeds) {
  if (std::ranges::find(seeds, seed_) == seeds.end()) {
    seed_ =
        seeds[UniformBelow(random_, static_cast<std::uint32_t>(seeds.size()))];
  }
  return seed_;
}

void OverloadExchange::ShareInMesh(TimePoint now, Outbox& out) {
  if (peers_.empty()) {
    return;
  }
  if (std::optional<ServiceLoadReport> report = view_.TakeReport(now)) {
    out.SendToAll(SamplePeers(), std::move(*report));
  }
}

void OverloadExchange::ShareSums(TimePoint now, Outbox& out) {
  if (now - summed_at_ < OverloadView::kInterval) {
    return;
  }
  std::vector<HostId> seeds = PeersWith(OverloadPeerRole::kSeed);
  std::vector<HostId> followers = PeersWith(OverloadPeerRole::kFollower);
  if (!seeds.empty()) {
    if (std::optional<ServiceLoadSum> part = view_.MakeSum(true, now)) {
      out.SendToAll(std::move(seeds), std::move(*part));
      summed_at_ = now;
    }
  }
  if (std::optional<ServiceLoadSum> whole = view_.MakeSum(false, now)) {
    out.SendToAll(std::move(followers), std::move(*whole));
    summed_at_ = now;
  }
}

void OverloadExchange::Share(TimePoint now, Outbox& out) {
  if (topology_ == FleetTopology::kMesh) {
    ShareInMesh(now, out);
    return;
  }
  const std::vector<HostId> seeds = PeersWith(OverloadPeerRole::kSeed);
  if (seeds.size() < peers_.size()) {
    ShareSums(now, out);
  } else if (!seeds.empty()) {
    if (std::optional<ServiceLoadReport> report = view_.TakeReport(now)) {
      out.Send(ChooseSeed(seeds), std::move(*report));
    }
  }
}

void OverloadExchange::OnReport(const HostId& from,
                                const ServiceLoadReport& report,
                                TimePoint now,
                                Outbox& out) {
  if (!peers_.contains(from)) {
    return;
  }
  view_.OnReport(from, report, now);
  if (topology_ == FleetTopology::kStar) {
    ShareSums(now, out);
  }
}

void OverloadExchange::OnSum(const HostId& from,
                             const ServiceLoadSum& sum,
                             TimePoint now,
                             Outbox& out) {
  const auto it = peers_.find(from);
  if (it == peers_.end() || it->second != OverloadPeerRole::kSeed) {
    return;
  }
  view_.OnSum(from, sum, now);
  if (sum.is_part) {
    ShareSums(now, out);
  }
}

void OverloadExchange::OnView(const HostView& view,
                              TimePoint /*now*/,
                              Outbox& /*out*/) {
  std::map<HostId, Incarnation> reachable;
  for (const PeerView& it : view.peers) {
    if (it.reachable) {
      reachable[it.id] = it.incarnation;
    }
  }
  // The statements of an earlier process are dropped, because its clock may
  // have been another one.
  for (const auto& [host, incarnation] : incarnations_) {
    const auto it = reachable.find(host);
    if (it == reachable.end() || it->second != incarnation) {
      OnPeerGone(host);
    }
  }
  for (const auto& [host, incarnation] : reachable) {
    OnPeer(host, OverloadPeerRole::kFollower);
  }
  incarnations_ = std::move(reachable);
}

void OverloadExchange::OnMessage(const Sender& sender,
                                 const PeerMessage& message,
                                 TimePoint now,
                                 Outbox& out) {
  if (const auto* report = std::get_if<ServiceLoadReport>(&message)) {
    OnReport(sender.host, *report, now, out);
  }
}

}  // namespace damasktack
