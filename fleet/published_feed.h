#ifndef FLEET_PUBLISHED_FEED_H_
#define FLEET_PUBLISHED_FEED_H_

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "core/random.h"
#include "fleet/fleet_module.h"
#include "fleet/published_messages.h"
#include "fleet/published_view.h"

namespace damasktack {

struct PublishedFeedOptions {
  HostId self;
  // Where peers reach this host, and the hosts at which peers find each other.
  SocketAddress address;
  std::vector<SocketAddress> seeds;

  // A host whose knowledge was confirmed longer ago than this asks the store
  // itself. Together with a call to the store it stays below the two seconds
  // in which a change has to be in force. Seeds are sooner, so that those that
  // they feed need not ask as well.
  Duration stale = std::chrono::milliseconds(1400);
  Duration seed_stale = std::chrono::milliseconds(1000);
  // How long a host that starts waits for a feed before it asks the store.
  Duration start_patience = std::chrono::milliseconds(250);
  // Whether a host that starts reads any copy of the store at once. After a
  // loss of power all hosts start together and nobody can feed them; what an
  // old copy says is as good as what they knew before, and is confirmed or
  // replaced within start_patience.
  bool early_read = false;
  // The same patience where such a copy has been read: the host can serve by
  // it, and the seeds are back within a second after a loss of power. Leaves
  // time for a call before what the copy says is two seconds old.
  Duration copy_patience = std::chrono::milliseconds(1000);
  // A host tries the next seed where one has not fed it for this long.
  Duration seed_patience = std::chrono::milliseconds(400);

  // Between two hellos to a seed that this host follows.
  Duration hello = std::chrono::milliseconds(1500);

  // One watch waits this long; each answer confirms what the fleet knows.
  Duration watch = std::chrono::milliseconds(600);
  // Changes that come within this time cost one call together.
  Duration gather = std::chrono::milliseconds(150);
  // Between failed calls: doubled from the first to the second, jittered. Hosts
  // that are no seeds wait longer: the seeds tell them when the store is back.
  Duration shortest_backoff = std::chrono::milliseconds(150);
  Duration longest_backoff = std::chrono::milliseconds(700);
  Duration longest_follower_backoff = std::chrono::milliseconds(2000);
  // An endpoint that vanishes this soon after the store was out of reach may
  // only have lost its lease.
  Duration after_outage = std::chrono::milliseconds(2500);
};

// What the owner of a feed is to do next.
struct FeedStep {
  enum class Kind : std::uint8_t { kWait, kReadAnyCopy, kReadAll, kWatch };

  Kind kind = Kind::kWait;
  // The longest wait, of the watch or before the next step.
  Duration time{};
};

struct FeedCounters {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
  std::uint64_t updates_sent = 0;
  std::uint64_t updates_received = 0;
};

// How one host learns what is published. The first seed reads the store, seeds
// further back follow those before them, and all other hosts follow a seed
// each, so that the calls to the store do not grow with the fleet. Each update
// says how long ago the store confirmed it. A host whose knowledge grows old,
// whatever the reason (the feeder is frozen, killed, cut off from the store or
// from this host), reads the store itself until it is fed again.
//
// Pure: no clock, sockets or threads. The owner carries out steps and messages.
class PublishedFeed {
 public:
  PublishedFeed(PublishedFeedOptions options, std::uint64_t random_seed);

  // To be called again after each event and when the step's time has passed.
  FeedStep Next(TimePoint now);
  void OnReadAnyCopy(const PublishedItems& all, TimePoint now);
  void OnReadAll(const PublishedItems& all, TimePoint now);
  void OnWatched(const PublishedItems& changes, TimePoint now);
  void OnFailure(const Error& error, TimePoint now);

  void OnLinkUp(const HostId& host, TimePoint now, Outbox& out);
  void OnLinkDown(const HostId& host, TimePoint now);
  void OnMessage(const HostId& host,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  // Tells the hosts that follow this one what it knows, where that is news.
  void Feed(TimePoint now, Outbox& out);

  // Seeds to hold links to.
  std::vector<SocketAddress> WantedSeeds(TimePoint now) const;

  PublishedView& view() { return view_; }
  const PublishedView& view() const { return view_; }
  const FeedCounters& counters() const { return counters_; }
  // Whether this host asks the store itself.
  bool reads_store() const { return reads_store_; }
  // How old the knowledge is; null before the first.
  std::optional<Duration> Age(TimePoint now) const;
  // How many hosts the fleet has, this one included, as its feeder says or as
  // it counts them itself; 0 where neither is known.
  std::int64_t KnownHosts() const;

 private:
  struct Peer {
    std::optional<FeedHello> hello;
    // What was sent to a host that follows.
    Revision sent = 0;
    TimePoint sent_confirmed;
  };

  bool Follows(const Peer& peer) const;
  bool IsFeeder(const Peer& peer) const;
  bool IsStale(TimePoint now) const;
  bool IsFed(TimePoint now) const;
  Duration StaleAfter() const;
  Duration StartPatience() const;

  void Confirm(TimePoint at);
  bool IsAfterOutage(TimePoint now) const;
  void SendUpdate(const HostId& host, Peer& peer, TimePoint now, Outbox& out);
  void Take(const HostId& host,
            const FeedUpdate& update,
            TimePoint now,
            Outbox& out);
  FeedHello Hello() const;
  // Hosts that follow this one and are no seeds.
  std::int64_t CountFollowers() const;
  // From when on the missing feed is noticed.
  TimePoint UnfedSince(TimePoint now) const;
  // A link on which nothing is said counts as dead.
  void KeepLinksAlive(TimePoint now, Outbox& out);
  Duration NextBackoff();

  const PublishedFeedOptions options_;
  Random random_;
  std::int64_t rank_ = FeedHello::kNoSeed;
  // By the last update.
  std::int64_t told_hosts_ = 0;
  PublishedView view_;
  std::map<HostId, Peer> peers_;
  FeedCounters counters_;

  std::optional<TimePoint> started_at_;
  // When the store last confirmed what this host knows.
  std::optional<TimePoint> confirmed_at_;
  // When a feed last confirmed it.
  std::optional<TimePoint> fed_at_;
  bool reads_store_ = false;
  bool has_read_early_ = false;
  // A whole read has come since this host began to read.
  bool is_synced_ = false;
  bool lost_contact_ = false;
  // What the last update said of its sender, or of the host that feeds that.
  bool feeder_after_outage_ = false;
  TimePoint next_call_;
  TimePoint next_hello_;
  Duration backoff_{};
  std::optional<TimePoint> regained_at_;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_FEED_H_
