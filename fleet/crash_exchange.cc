#include "fleet/crash_exchange.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace damasktack {

namespace {

void SendTo(std::vector<HostId> hosts,
            const CrashUpdates& news,
            TimePoint now,
            Outbox& out) {
  if (!hosts.empty() && !news.empty()) {
    out.SendToAll(std::move(hosts), MakeCrashReport(news, now));
  }
}

}  // namespace

void CrashExchange::OnPeer(const HostId& host,
                           CrashPeerRole listener,
                           TimePoint now,
                           Outbox& out) {
  const auto known = peers_.find(host);
  if (known != peers_.end() && known->second == listener) {
    return;
  }
  peers_[host] = listener;
  const std::size_t least =
      listener == CrashPeerRole::kFollower ? kMinCrashesForFollowers : 1;
  CrashReport report = quarantine_.Evidence(least, now);
  if (!report.empty()) {
    out.Send(host, std::move(report));
  }
}

void CrashExchange::OnPeerGone(const HostId& host) {
  peers_.erase(host);
}

std::vector<HostId> CrashExchange::Listeners(CrashPeerRole listener,
                                             const HostId& but) const {
  std::vector<HostId> hosts;
  for (const auto& [host, it] : peers_) {
    if (it == listener && host != but) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

CrashUpdates CrashExchange::ForFollowers(const CrashUpdates& news) const {
  CrashUpdates told;
  std::set<RequestFingerprint> requests;
  for (const CrashObservation& it : news.sightings) {
    requests.insert(it.request);
  }
  for (const RequestFingerprint request : requests) {
    const std::vector<CrashObservation> all =
        quarantine_.ObservationsOf(request);
    if (all.size() >= kMinCrashesForFollowers) {
      std::ranges::copy(all, std::back_inserter(told.sightings));
    }
  }
  for (const CrashUpdates::Cleared& it : news.cleared) {
    if (it.crashes >= kMinCrashesForFollowers) {
      told.cleared.push_back(it);
    }
  }
  return told;
}

void CrashExchange::Pass(const CrashUpdates& news,
                         const HostId& from,
                         TimePoint now,
                         Outbox& out) const {
  SendTo(Listeners(CrashPeerRole::kSeed, from), news, now, out);
  // A follower that sent the second sighting of a request lacks the first.
  SendTo(Listeners(CrashPeerRole::kFollower, HostId()), ForFollowers(news), now,
         out);
}

void CrashExchange::Share(TimePoint now, Outbox& out) {
  const CrashUpdates news = quarantine_.TakeUpdates();
  if (news.empty()) {
    return;
  }
  SendTo(Listeners(CrashPeerRole::kPeer, HostId()), news, now, out);
  Pass(news, HostId(), now, out);
}

void CrashExchange::OnReport(const HostId& from,
                             const CrashReport& report,
                             TimePoint now,
                             Outbox& out) {
  const CrashUpdates news = quarantine_.Take(report, now);
  if (!news.empty()) {
    Pass(news, from, now, out);
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
