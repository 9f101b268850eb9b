#include "proxy/relay_peer_picker.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace damasktack {

std::string_view ToString(RelayEnd end) {
  constexpr std::array<std::string_view, kRelayEndCount> kNames = {
      "taken", "refused", "lost"};
  return kNames[static_cast<std::size_t>(end)];
}

void RelayPeerPicker::RequestPeersIfDue(TimePoint now) {
  {
    const std::lock_guard lock(mutex_);
    if (now < next_request_) {
      return;
    }
    next_request_ = now + kRequestInterval;
    // Forgets the peers that are no longer in use.
    std::erase_if(peers_, [&](const auto& it) {
      return it.second.calls == 0 && now >= it.second.usable_at;
    });
  }
  directory_.RequestPeers();
}

bool RelayPeerPicker::IsIn(const ZoneId& zone,
                           const std::vector<RegionId>& regions) const {
  const auto it = regions_.find(zone);
  return it != regions_.end() &&
         std::ranges::find(regions, it->second) != regions.end();
}

std::optional<RelayHost> RelayPeerPicker::Pick(
    const std::vector<HostId>& tried,
    const std::vector<RegionId>& allowed_regions,
    TimePoint now) {
  RequestPeersIfDue(now);
  const std::optional<RelayHost> self = directory_.self();
  const std::vector<RelayHost> candidates = directory_.peers();
  const std::lock_guard lock(mutex_);
  const RelayHost* best = nullptr;
  std::tuple<std::int64_t, bool> best_rank;
  for (const RelayHost& it : candidates) {
    const Peer& peer = peers_[it.host];
    const bool is_tried = std::ranges::find(tried, it.host) != tried.end();
    const bool is_allowed =
        allowed_regions.empty() || IsIn(it.zone, allowed_regions);
    if (is_tried || !is_allowed || now < peer.usable_at) {
      continue;
    }
    const bool is_far = self && it.zone != self->zone;
    const std::tuple rank(peer.calls, is_far);
    if (best == nullptr || rank < best_rank) {
      best = &it;
      best_rank = rank;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  ++peers_[best->host].calls;
  return *best;
}

void RelayPeerPicker::OnEnd(const HostId& peer, RelayEnd end, TimePoint now) {
  const std::lock_guard lock(mutex_);
  Peer& state = peers_[peer];
  --state.calls;
  if (end == RelayEnd::kRefused) {
    state.usable_at = now + kRefusedBackoff;
  } else if (end == RelayEnd::kLost) {
    state.usable_at = now + kLostBackoff;
  }
}

}  // namespace damasktack
