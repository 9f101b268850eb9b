#ifndef FLEET_PUBLISHED_FEED_H_
#define FLEET_PUBLISHED_FEED_H_

#include <optional>
#include <vector>

#include "core/random.h"
#include "fleet/feed_options.h"
#include "fleet/feed_peers.h"
#include "fleet/fleet_module.h"
#include "fleet/host_number_allocator.h"
#include "fleet/published_messages.h"
#include "fleet/published_view.h"

namespace damasktack {

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
  // This host's place among them; none where it has not been told, or not for
  // long enough to know how many there are.
  HostNumber Seat(TimePoint now) const;

 private:
  void FindRank();
  bool IsSeed() const { return rank_ != FeedHello::kNoSeed; }
  // Whether what this host knows is news to the peer, and for this host to say.
  bool HasNewsFor(const FeedPeer& peer) const;
  // Whether the store told this host itself what it knows.
  bool IsReadingWell() const {
    return reads_store_ && is_synced_ && !lost_contact_;
  }
  // A seed asks the store in vain for this host, which can wait: it has routes.
  bool KnowsOfOutage(TimePoint now) const;
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
  FeedUpdate MakeUpdate(Revision after,
                        PublishedPart part,
                        TimePoint now) const;
  // `to` have everything up to `after`.
  void SendUpdate(std::vector<HostId> to,
                  Revision after,
                  TimePoint now,
                  Outbox& out);
  void ApplyPart(const HostId& host,
                 const FeedPart& part,
                 TimePoint now,
                 Outbox& out);
  void Take(const HostId& host,
            const FeedUpdate& update,
            const EndpointRange& range,
            TimePoint now,
            Outbox& out);
  FeedHello Hello(TimePoint now) const;
  void Greet(TimePoint now, Outbox& out);
  void TakeHello(const HostId& host,
                 const FeedHello& hello,
                 TimePoint now,
                 Outbox& out);
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
  FeedPeers peers_;
  HostNumberAllocator seating_;
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
