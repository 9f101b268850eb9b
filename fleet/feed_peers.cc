#include "fleet/feed_peers.h"

#include <algorithm>
#include <utility>

namespace damasktack {

std::vector<HostId> FeedPeers::Followers() const {
  std::vector<HostId> followers;
  for (const auto& [host, peer] : peers_) {
    if (IsFollower(peer)) {
      followers.push_back(host);
    }
  }
  return followers;
}

std::int64_t FeedPeers::CountFollowers() const {
  return std::ranges::count_if(peers_, [&](const auto& it) {
    return IsFollower(it.second) && !it.second.IsSeed();
  });
}

std::int64_t FeedPeers::CountHosts() const {
  std::int64_t hosts = 1 + CountFollowers();
  for (const auto& [host, peer] : peers_) {
    if (peer.IsSeed()) {
      hosts += 1 + peer.hello->followers;
    }
  }
  return hosts;
}

std::int64_t FeedPeers::MaxFollowersOfOtherSeeds() const {
  std::int64_t max_followers = 0;
  for (const auto& [host, peer] : peers_) {
    if (peer.IsSeed()) {
      max_followers = std::max(max_followers, peer.hello->followers);
    }
  }
  return max_followers;
}

bool FeedPeers::AnyReportsOutage(Duration validity, TimePoint now) const {
  return std::ranges::any_of(peers_, [&](const auto& it) {
    return it.second.ReportsOutage(validity, now);
  });
}

bool FeedPeers::IsServedBy(const SocketAddress& seed,
                           const PublishedFeedOptions& options,
                           TimePoint now) const {
  return std::ranges::any_of(peers_, [&](const auto& it) {
    const FeedPeer& peer = it.second;
    const bool feeds =
        peer.fed_at && now - *peer.fed_at < options.seed_link_retention;
    return peer.hello && peer.hello->address == seed &&
           (feeds || peer.ReportsOutage(options.outage_notice_validity, now));
  });
}

void FeedPeers::ClearOutages() {
  for (auto& [host, peer] : peers_) {
    peer.outage_at.reset();
  }
}

std::vector<HostId> FeedPeers::TakePeersWithoutHello() {
  std::vector<HostId> hosts;
  for (auto& [host, peer] : peers_) {
    if (!std::exchange(peer.is_hello_sent, true)) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

void FeedPeers::ResetHellos() {
  for (auto& [host, peer] : peers_) {
    peer.is_hello_sent = false;
  }
}

}  // namespace damasktack
