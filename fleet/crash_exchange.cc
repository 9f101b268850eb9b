#include "fleet/crash_exchange.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace damasktack {

namespace {

void SendTo(std::vector<HostId> hosts,
            const CrashUpdates& updates,
            TimePoint now,
            Outbox& out) {
  if (!hosts.empty() && !updates.empty()) {
    out.SendToAll(std::move(hosts), MakeCrashReport(updates, now));
  }
}

}  // namespace

void CrashExchange::OnPeer(const HostId& host,
                           CrashPeerRole role,
                           TimePoint now,
                           Outbox& out) {
  const auto known = peers_.find(host);
  if (known != peers_.end() && known->second == role) {
    return;
  }
  peers_[host] = role;
  const std::size_t min_crashes =
      role == CrashPeerRole::kFollower ? kMinCrashesForFollowers : 1;
  CrashReport report = quarantine_.Evidence(min_crashes, now);
  if (!report.empty()) {
    out.Send(host, std::move(report));
  }
}

void CrashExchange::OnPeerGone(const HostId& host) {
  peers_.erase(host);
}

std::vector<HostId> CrashExchange::PeersWithRole(CrashPeerRole role,
                                                 const HostId& excluded) const {
  std::vector<HostId> hosts;
  for (const auto& [host, it] : peers_) {
    if (it == role && host != excluded) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

CrashUpdates CrashExchange::SelectForFollowers(
    const CrashUpdates& updates) const {
  CrashUpdates selected;
  std::set<RequestFingerprint> requests;
  for (const CrashObservation& it : updates.observations) {
    requests.insert(it.request);
  }
  for (const RequestFingerprint request : requests) {
    const std::vector<CrashObservation> all =
        quarantine_.ObservationsOf(request);
    if (all.size() >= kMinCrashesForFollowers) {
      std::ranges::copy(all, std::back_inserter(selected.observations));
    }
  }
  for (const CrashUpdates::Cleared& it : updates.cleared) {
    if (it.crashes >= kMinCrashesForFollowers) {
      selected.cleared.push_back(it);
    }
  }
  return selected;
}

void CrashExchange::Relay(const CrashUpdates& updates,
                          const HostId& from,
                          TimePoint now,
                          Outbox& out) const {
  SendTo(PeersWithRole(CrashPeerRole::kSeed, from), updates, now, out);
  // The sender is included: a follower that reported the second crash of a
  // request has not got the report on the first.
  SendTo(PeersWithRole(CrashPeerRole::kFollower, HostId()),
         SelectForFollowers(updates), now, out);
}

void CrashExchange::Share(TimePoint now, Outbox& out) {
  const CrashUpdates updates = quarantine_.TakeUpdates();
  if (updates.empty()) {
    return;
  }
  SendTo(PeersWithRole(CrashPeerRole::kPeer, HostId()), updates, now, out);
  Relay(updates, HostId(), now, out);
}

void CrashExchange::OnReport(const HostId& from,
                             const CrashReport& report,
                             TimePoint now,
                             Outbox& out) {
  const CrashUpdates updates = quarantine_.Take(report, now);
  if (!updates.empty()) {
    Relay(updates, from, now, out);
  }
}

void CrashExchange::OnView(const HostView& view, TimePoint now, Outbox& out) {
  std::map<HostId, Incarnation> reachable;
  for (const PeerView& it : view.peers) {
    if (it.reachable) {
      reachable[it.id] = it.incarnation;
    }
  }
  for (const auto& [host, incarnation] : incarnations_) {
    const auto it = reachable.find(host);
    if (it == reachable.end() || it->second != incarnation) {
      OnPeerGone(host);
    }
  }
  incarnations_ = std::move(reachable);
  for (const auto& [host, incarnation] : incarnations_) {
    OnPeer(host, CrashPeerRole::kPeer, now, out);
  }
}

void CrashExchange::OnMessage(const Sender& sender,
                              const PeerMessage& message,
                              TimePoint now,
                              Outbox& out) {
  if (const auto* report = std::get_if<CrashReport>(&message)) {
    OnReport(sender.host, *report, now, out);
  }
}

}  // namespace damasktack
