#include "fleet/crash_exchange.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace damasktack {

namespace {

void SendTo(std::vector<HostId> hosts,
            const CrashNews& updates,
            TimePoint now,
            Outbox& out) {
  if (!hosts.empty() && !updates.empty()) {
    out.SendToAll(std::move(hosts), MakeCrashReport(updates, now));
  }
}

}  // namespace

void CrashExchange::OnPeer(const HostId& host,
                           CrashListener role,
                           TimePoint now,
                           Outbox& out) {
  const auto known = peers_.find(host);
  if (known != peers_.end() && known->second == role) {
    return;
  }
  peers_[host] = role;
  const std::size_t min_crashes =
      role == CrashListener::kFollower ? kTellFollowersFrom : 1;
  CrashReport report = quarantine_.Evidence(min_crashes, now);
  if (!report.empty()) {
    out.Send(host, std::move(report));
  }
}

void CrashExchange::OnPeerGone(const HostId& host) {
  peers_.erase(host);
}

std::vector<HostId> CrashExchange::PeersWithRole(CrashListener role,
                                                 const HostId& excluded) const {
  std::vector<HostId> hosts;
  for (const auto& [host, it] : peers_) {
    if (it == role && host != excluded) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

CrashNews CrashExchange::SelectForFollowers(const CrashNews& updates) const {
  CrashNews selected;
  std::set<RequestFingerprint> requests;
  for (const CrashSighting& it : updates.sightings) {
    requests.insert(it.request);
  }
  for (const RequestFingerprint request : requests) {
    const std::vector<CrashSighting> all = quarantine_.SightingsOf(request);
    if (all.size() >= kTellFollowersFrom) {
      std::ranges::copy(all, std::back_inserter(selected.sightings));
    }
  }
  for (const CrashNews::Cleared& it : updates.cleared) {
    if (it.crashes >= kTellFollowersFrom) {
      selected.cleared.push_back(it);
    }
  }
  return selected;
}

void CrashExchange::Relay(const CrashNews& updates,
                          const HostId& from,
                          TimePoint now,
                          Outbox& out) const {
  SendTo(PeersWithRole(CrashListener::kSeed, from), updates, now, out);
  // The sender is included: a follower that reported the second crash of a
  // request has not got the report on the first.
  SendTo(PeersWithRole(CrashListener::kFollower, HostId()),
         SelectForFollowers(updates), now, out);
}

void CrashExchange::Share(TimePoint now, Outbox& out) {
  const CrashNews updates = quarantine_.TakeNews();
  if (updates.empty()) {
    return;
  }
  SendTo(PeersWithRole(CrashListener::kPeer, HostId()), updates, now, out);
  Relay(updates, HostId(), now, out);
}

void CrashExchange::OnReport(const HostId& from,
                             const CrashReport& report,
                             TimePoint now,
                             Outbox& out) {
  const CrashNews updates = quarantine_.Take(report, now);
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
    OnPeer(host, CrashListener::kPeer, now, out);
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
