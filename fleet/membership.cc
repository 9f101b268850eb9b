#include "fleet/membership.h"

#include <algorithm>
#include <utility>

namespace damasktack {

Membership::Membership(MembershipOptions options)
    : options_(std::move(options)) {
  view_.self = options_.self;
  view_.self_incarnation = options_.incarnation;
  view_.self_zone = options_.zone;
}

void Membership::SetList(const HostList& list, TimePoint now) {
  for (auto& [id, peer] : peers_) {
    peer.spec.reset();
  }
  view_.listed = false;
  view_.revision = list.revision;
  for (const HostSpec& it : list.hosts) {
    if (it.id == options_.self) {
      view_.listed = true;
    } else {
      peers_[it.id].spec = it;
    }
  }
  changed_ = true;
  Rebuild(now);
}

void Membership::LinkUp(const HostId& host,
                        Incarnation incarnation,
                        TimePoint now) {
  Peer& peer = peers_[host];
  if (peer.incarnation != incarnation) {
    // Another process under the same id: what the old one said is void.
    peer.leaving = false;
    peer.gone = false;
  }
  peer.incarnation = incarnation;
  peer.linked = true;
  peer.last_heard = now;
  Rebuild(now);
}

void Membership::LinkDown(const HostId& host,
                          Incarnation incarnation,
                          TimePoint now) {
  const auto it = peers_.find(host);
  // The end of an old process's link says nothing about the new process.
  if (it == peers_.end() || it->second.incarnation != incarnation) {
    return;
  }
  it->second.linked = false;
  Rebuild(now);
}

bool Membership::OnMessage(const Sender& sender,
                           const PeerMessage& message,
                           TimePoint now) {
  const auto it = peers_.find(sender.host);
  if (it == peers_.end() || !it->second.linked ||
      it->second.incarnation != sender.incarnation) {
    return false;
  }
  Peer& peer = it->second;
  const bool leaving = peer.leaving;
  peer.last_heard = now;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    peer.leaving = peer.leaving || heartbeat->leaving;
  }
  if (std::holds_alternative<Goodbye>(message)) {
    peer.gone = true;
  }
  if (peer.leaving != leaving || IsReachable(peer, now) != peer.reachable) {
    Rebuild(now);
  }
  return true;
}

void Membership::Tick(TimePoint now, Outbox& out) {
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + options_.heartbeat;
    SendHeartbeats(out);
  }
  // Most ticks change nothing; rebuilding the view costs with the fleet.
  const bool changed = std::ranges::any_of(peers_, [&](const auto& entry) {
    return IsReachable(entry.second, now) != entry.second.reachable;
  });
  if (changed) {
    Rebuild(now);
  }
}

void Membership::SetLeaving(TimePoint now, Outbox& out) {
  view_.self_leaving = true;
  changed_ = true;
  next_heartbeat_ = now + options_.heartbeat;
  SendHeartbeats(out);
}

void Membership::SendGoodbye(Outbox& out) {
  for (const HostId& it : Linked()) {
    out.Send(it, Goodbye{});
  }
}

void Membership::OnLateWake(TimePoint now) {
  for (auto& [id, peer] : peers_) {
    peer.last_heard = now;
  }
  Rebuild(now);
}

bool Membership::TakeChanged() {
  return std::exchange(changed_, false);
}

std::vector<PeerAddress> Membership::Addresses() const {
  std::vector<PeerAddress> addresses;
  for (const auto& [id, peer] : peers_) {
    if (peer.spec) {
      const SocketAddress& address = peer.spec->peer_address;
      addresses.push_back({id.text(), address.ip, address.port});
    }
  }
  return addresses;
}

std::vector<HostId> Membership::Linked() const {
  std::vector<HostId> linked;
  for (const auto& [id, peer] : peers_) {
    if (peer.linked) {
      linked.push_back(id);
    }
  }
  return linked;
}

bool Membership::IsReachable(const Peer& peer, TimePoint now) const {
  return peer.linked && !peer.gone && now - peer.last_heard <= options_.silence;
}

void Membership::Rebuild(TimePoint now) {
  std::vector<PeerView> peers;
  std::vector<HostId> unlisted;
  for (auto& [id, peer] : peers_) {
    const bool reachable = IsReachable(peer, now);
    peer.reachable = reachable;
    if (!peer.spec) {
      if (reachable) {
        unlisted.push_back(id);
      }
      continue;
    }
    const bool leaving =
        peer.leaving || peer.gone || peer.spec->state == ListedState::kLeaving;
    peers.push_back({id, peer.incarnation, peer.spec->zone,
                     leaving ? ListedState::kLeaving : ListedState::kLive,
                     reachable});
  }
  // Off the list and not linked: nothing is left to know.
  std::erase_if(peers_, [](const auto& entry) {
    return !entry.second.spec && !entry.second.linked;
  });
  if (peers != view_.peers || unlisted != view_.unlisted) {
    view_.peers = std::move(peers);
    view_.unlisted = std::move(unlisted);
    changed_ = true;
  }
}

// To every linked peer: N - 1 small messages an interval for each host. The
// size where that breaks its budget is in docs/notes/membership.md.
void Membership::SendHeartbeats(Outbox& out) {
  for (const HostId& it : Linked()) {
    out.Send(it, Heartbeat{view_.revision, view_.self_leaving});
  }
}

}  // namespace damasktack
