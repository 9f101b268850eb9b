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

// One host that this one is linked to.
struct FeedPeer {
  std::optional<FeedHello> hello;
  bool is_greeted = false;
  // What was sent to it or heard from it.
  Revision sent = 0;
  TimePoint sent_confirmed;
  FeedTransfer transfer;
  // What it fed was confirmed then, and its last word of an outage came then.
  std::optional<TimePoint> fed_at;
  std::optional<TimePoint> outage_at;

  bool IsSeed() const { return hello && hello->rank != FeedHello::kNoSeed; }
  bool HasWordOfOutage(Duration holds, TimePoint now) const {
    return outage_at && now - *outage_at < holds;
  }
};

// The hosts that this one is linked to, by their place in the feed: what is
// published passes from lower ranks to higher ones. Pure.
class FeedPeers {
 public:
  // Of this host; another one once the seeds have changed.
  void SetRank(std::int64_t rank) { rank_ = rank; }

  void OnLinkUp(const HostId& host) { peers_[host] = FeedPeer(); }
  void OnLinkDown(const HostId& host) { peers_.erase(host); }
  FeedPeer& at(const HostId& host) { return peers_[host]; }
  const std::map<HostId, FeedPeer>& all() const { return peers_; }

  bool Follows(const FeedPeer& peer) const {
    return peer.hello && peer.hello->rank > rank_;
  }
  bool IsFeeder(const FeedPeer& peer) const {
    return peer.hello && peer.hello->rank < rank_;
  }
  std::vector<HostId> Followers() const;
  // Hosts that follow this one and are no seeds.
  std::int64_t CountFollowers() const;
  // All hosts of the fleet, this one included, as a seed that reads the store
  // counts them. Each host follows one seed as a rule; while one looks for
  // another seed it is counted twice, which makes shares smaller.
  std::int64_t CountHosts() const;

  // The most hosts that follow another seed.
  std::int64_t MostFollowersElsewhere() const;

  bool HaveWordOfOutage(Duration holds, TimePoint now) const;
  // Whether the seed does for this host what it can.
  bool IsAttendedBy(const SocketAddress& seed,
                    const PublishedFeedOptions& options,
                    TimePoint now) const;

  void ForgetOutages();
  // Peers that have not had a hello since the last call or GreetAnew.
  std::vector<HostId> TakeUngreeted();
  void GreetAnew();

 private:
  std::int64_t rank_ = FeedHello::kNoSeed;
  std::map<HostId, FeedPeer> peers_;
};

}  // namespace damasktack

#endif  // FLEET_FEED_PEERS_H_
