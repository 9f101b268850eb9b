#ifndef FLEET_FEED_PEERS_H_
#define FLEET_FEED_PEERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "fleet/feed_options.h"
#include "fleet/feed_transfer.h"
#include "fleet/published_messages.h"

namespace damasktack {

// State of one linked host.
struct FeedPeer {
  std::optional<FeedHello> hello;
  bool is_hello_sent = false;
  // The newest revision that the peer is known to have, because it was sent to
  // or received from it, and the confirmation time of that data.
  StoreRevision known_revision = 0;
  TimePoint known_confirmed_at;
  FeedTransfer transfer;
  // Confirmation time of the last update from the peer, and when its last
  // outage notice arrived.
  std::optional<TimePoint> fed_at;
  std::optional<TimePoint> outage_at;

  bool IsSeed() const { return hello && hello->rank != FeedHello::kNoSeed; }
  bool ReportsOutage(Duration validity, TimePoint now) const {
    return outage_at && now - *outage_at < validity;
  }
};

// The linked hosts and their ranks: published data is forwarded from lower
// ranks to higher ones. It is a pure state machine.
class FeedPeers {
 public:
  // Sets the rank of this host; it changes with the seeds.
  void SetRank(std::int64_t rank) { rank_ = rank; }

  void OnLinkUp(const HostId& host) { peers_[host] = FeedPeer(); }
  void OnLinkDown(const HostId& host) { peers_.erase(host); }
  FeedPeer& at(const HostId& host) { return peers_[host]; }
  const std::map<HostId, FeedPeer>& all() const { return peers_; }

  bool IsFollower(const FeedPeer& peer) const {
    return peer.hello && peer.hello->rank > rank_;
  }
  bool IsFeeder(const FeedPeer& peer) const {
    return peer.hello && peer.hello->rank < rank_;
  }
  std::vector<HostId> Followers() const;
  // Returns the number of followers that are not seeds.
  std::int64_t CountFollowers() const;
  // Returns the number of hosts in the fleet, including this one, as counted by
  // a seed that reads the store. Each host usually follows one seed; while it
  // switches to another seed it is counted twice, which makes shares smaller.
  std::int64_t CountHosts() const;

  // Returns the largest number of followers of any other seed.
  std::int64_t MaxFollowersOfOtherSeeds() const;

  bool AnyReportsOutage(Duration validity, TimePoint now) const;
  // Whether the seed feeds this host or has recently reported an outage.
  bool IsServedBy(const SocketAddress& seed,
                  const PublishedFeedOptions& options,
                  TimePoint now) const;

  void ClearOutages();
  // Returns the peers that need a hello, once each after they were linked and
  // after ResetHellos.
  std::vector<HostId> TakePeersWithoutHello();
  void ResetHellos();

 private:
  std::int64_t rank_ = FeedHello::kNoSeed;
  std::map<HostId, FeedPeer> peers_;
};

}  // namespace damasktack

#endif  // FLEET_FEED_PEERS_H_
