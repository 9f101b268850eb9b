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
  // Whether a host that starts reads any copy of the store at once: first the
  // routes and a part of the endpoints, which it serves by, then all of them.
  // After a loss of power all hosts start together and nobody can feed them;
  // what an old copy says is as good as what they knew before, and is confirmed
  // or replaced within start_patience.
  bool early_read = false;
  // The same patience from the moment when such a copy has been read: the host
  // can serve by it, and the seeds are back within a second after a loss of
  // power. No longer than `longest_start` after its start: no endpoint that
  // left is to get calls for longer than two seconds and a call to the store.
  Duration copy_patience = std::chrono::milliseconds(1000);
  Duration longest_start = std::chrono::milliseconds(2000);
  // A host tries the next seed where one has not fed it for this long.
  Duration seed_patience = std::chrono::milliseconds(400);
  // The link to a seed that fed it is kept for this long while it does not, so
  // that a seed that is slow for a moment is not dialed anew by all its hosts.
  Duration seed_memory = std::chrono::milliseconds(3000);

  // Between two hellos to a seed that this host follows.
  Duration hello = std::chrono::milliseconds(1500);

  // One watch waits this long; each answer confirms what the fleet knows.
  Duration watch = std::chrono::milliseconds(600);
  // Changes that come within this time cost one call together.
  Duration gather = std::chrono::milliseconds(150);
  // Between failed calls: doubled from the first to the second, jittered. Hosts
  // that are no seeds wait longer: the seeds tell them when the store is back.
  // In an outage of which a seed says that it asks in vain, all hosts that are
  // no seeds ask once within `outage_share` together, so that the calls do not
  // grow with the fleet: 472 hosts asked 5,900 times in 8 s.
  Duration shortest_backoff = std::chrono::milliseconds(150);
  Duration longest_backoff = std::chrono::milliseconds(700);
  Duration longest_follower_backoff = std::chrono::milliseconds(2000);
  Duration outage_share = std::chrono::milliseconds(100);
  // A seed that asks in vain says so this often, and is taken at its word for
  // `outage_word_holds`: two words may be lost.
  Duration outage_word = std::chrono::milliseconds(400);
  Duration outage_word_holds = std::chrono::milliseconds(1200);
  // An endpoint that vanishes this soon after the store was out of reach may
  // only have lost its lease.
  Duration after_outage = std::chrono::milliseconds(2500);
};

// What the owner of a feed is to do next.
struct FeedStep {
  enum class Kind : std::uint8_t {
    kWait,
    kReadPart,
    kReadEndpoints,
    kReadAll,
    kWatch
  };

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
// What a host was told passes on to higher ranks only; what the store told it
// itself passes to lower ranks too, where a seed is turned away by a store that
// serves others. So no confirmation goes in a circle, growing younger by the
// time that messages travel.
//
// Pure: no clock, sockets or threads. The owner carries out steps and messages.
class PublishedFeed {
 public:
  PublishedFeed(PublishedFeedOptions options, std::uint64_t random_seed);

  // Other seeds from now on; this host may be one of them, or be none any more.
  void SetSeeds(std::vector<SocketAddress> seeds);
  // To be called again after each event and when the step's time has passed.
  FeedStep Next(TimePoint now);
  void OnReadPart(PublishedItems part, TimePoint now);
  void OnReadEndpoints(PublishedItems all, TimePoint now);
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
    bool is_greeted = false;
    // What was sent to it or heard from it.
    Revision sent = 0;
    TimePoint sent_confirmed;
    // What it fed was confirmed then, and its last word of an outage came then.
    std::optional<TimePoint> fed_at;
    std::optional<TimePoint> outage_at;
  };

  void FindRank();
  bool Follows(const Peer& peer) const;
  bool IsFeeder(const Peer& peer) const;
  static bool IsSeed(const Peer& peer);
  // Whether what this host knows is news to the peer, and for this host to say.
  bool HasNewsFor(const Peer& peer) const;
  // Whether the store told this host itself what it knows.
  bool IsReadingWell() const {
    return reads_store_ && is_synced_ && !lost_contact_;
  }
  bool HasWordOfOutage(const Peer& peer, TimePoint now) const;
  // A seed asks the store in vain for this host, which can wait: it has routes.
  bool KnowsOfOutage(TimePoint now) const;
  // Whether a seed does for this host what it can.
  bool IsAttendedBy(const SocketAddress& seed, TimePoint now) const;
  bool ShouldRead(TimePoint now) const;
  void BeginReading(TimePoint now);
  // In an outage: between calls of one host, so that all hosts together make
  // one within each `outage_share`.
  Duration OutageInterval() const;
  void HoldToOutage(TimePoint now);
  void TellOutage(TimePoint now, Outbox& out);
  bool IsStale(TimePoint now) const;
  bool IsFed(TimePoint now) const;
  Duration StaleAfter() const;
  // When a host that starts asks the store itself, unless it is fed before.
  TimePoint StartDue() const;
  // The next step of the early read; null where there is none.
  std::optional<FeedStep> EarlyRead();

  void Confirm(TimePoint at, std::uint64_t reader);
  bool IsAfterOutage(TimePoint now) const;
  FeedUpdate UpdateAfter(Revision after, TimePoint now) const;
  // `to` have everything up to `after`.
  void SendUpdate(std::vector<HostId> to,
                  Revision after,
                  TimePoint now,
                  Outbox& out);
  void Take(const HostId& host,
            const FeedUpdate& update,
            TimePoint now,
            Outbox& out);
  FeedHello Hello() const;
  void Greet(Outbox& out);
  // Hosts that follow this one and are no seeds.
  std::int64_t CountFollowers() const;
  // From when on the missing feed is noticed.
  TimePoint UnfedSince(TimePoint now) const;
  // A link on which nothing is said counts as dead.
  void KeepLinksAlive(TimePoint now, Outbox& out);
  Duration NextBackoff(TimePoint now);
  Duration Jittered(Duration time);
  // From none to all of it.
  Duration UpTo(Duration time);

  // Only the seeds change.
  PublishedFeedOptions options_;
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
  // To whom, by the number that each process draws; and this one's. Seeds have
  // lower ones than others, in the order of their ranks.
  std::uint64_t confirmed_to_ = 0;
  std::uint64_t own_number_ = 0;
  std::uint64_t fed_by_ = 0;
  // When a feed last confirmed it.
  std::optional<TimePoint> fed_at_;
  bool reads_store_ = false;
  // The early read has not ended; the part of it that came first.
  bool awaits_copy_ = false;
  std::optional<PublishedItems> part_;
  // When it ended.
  std::optional<TimePoint> copied_at_;
  // A whole read has come since this host began to read.
  bool is_synced_ = false;
  bool lost_contact_ = false;
  TimePoint next_outage_word_;
  // What this host read was sent to a seed that cannot read.
  bool has_helped_ = false;
  // What the last update said of its sender, or of the host that feeds that.
  bool feeder_after_outage_ = false;
  TimePoint next_call_;
  TimePoint next_hello_;
  Duration backoff_{};
  std::optional<TimePoint> regained_at_;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_FEED_H_
