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

// Keeps one host up to date with the published routes, zone drains and
// endpoints. The first seed reads the store, each further seed follows the
// seeds before it, and every other host follows one seed, so the number of
// store calls does not grow with the fleet. Each update states how long ago the
// store confirmed it. A host whose data becomes stale for whatever reason (its
// feeder is frozen, killed, or cut off from the store or from this host) reads
// the store itself until it is fed again.
//
// Data received from a peer is forwarded to higher ranks only. Data that this
// host read from the store itself is also sent to lower ranks, for a seed that
// the store rejects while it serves others. Confirmations therefore cannot
// circulate, which would make them look more recent by the message latency of
// each hop.
//
// This class is a pure state machine without clock, sockets or threads; the
// owner executes its steps and sends its messages.
class PublishedFeed {
 public:
  PublishedFeed(PublishedFeedOptions options, std::uint64_t random_seed);

  // Replaces the seeds. This host may become a seed or stop being one.
  void SetSeeds(std::vector<SocketAddress> seeds);
  // Returns the next step. Must be called again after each event and when the
  // time of the step has passed.
  FeedStep NextStep(TimePoint now);
  void OnReadPart(PublishedItems part, TimePoint now);
  void OnReadEndpoints(PublishedItems all, TimePoint now);
  void OnReadAll(PublishedItems all, TimePoint now);
  void OnWatched(PublishedItems changes, TimePoint now);
  void OnFailure(const Error& error, TimePoint now);

  void OnLinkUp(const HostId& host, TimePoint now, Outbox& out);
  void OnLinkDown(const HostId& host, TimePoint now);
  void OnMessage(const HostId& host,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  // Sends updates, hellos and outage notices that are due.
  void SendUpdates(TimePoint now, Outbox& out);

  // Returns the seeds to which links should be kept open.
  std::vector<SocketAddress> WantedSeeds(TimePoint now) const;

  PublishedView& view() { return view_; }
  const PublishedView& view() const { return view_; }
  const FeedCounters& counters() const { return counters_; }
  // Whether this host reads the store itself.
  bool reads_store() const { return reads_store_; }
  // Returns the time since the store last confirmed the data; null before the
  // first confirmation.
  std::optional<Duration> Age(TimePoint now) const;
  // Returns the number of hosts in the fleet, including this one, as reported
  // by the feeder or counted by this host; 0 if unknown.
  std::int64_t KnownHosts() const;
  // Returns this host's number in the fleet. Unknown until a seed has assigned
  // one and `number_settling_time` has passed since the start.
  HostNumber OwnHostNumber(TimePoint now) const;

 private:
  void UpdateRank();
  bool IsSeed() const { return rank_ != FeedHello::kNoSeed; }
  // Whether the peer lacks data or a confirmation that this host has to send to
  // it.
  bool NeedsUpdate(const FeedPeer& peer) const;
  // Whether this host currently has its data directly from the store.
  bool HasOwnConfirmation() const {
    return reads_store_ && is_synced_ && !lost_contact_;
  }
  // Whether this host can wait because it has routes and a seed has recently
  // reported that the store does not answer.
  bool IsOutageReported(TimePoint now) const;
  bool ShouldRead(TimePoint now) const;
  void BeginReading(TimePoint now);
  // Returns the interval between store calls of one host during an outage, such
  // that all hosts together make one call per `outage_call_spacing`.
  Duration OutageInterval() const;
  void LimitOutageWait(TimePoint now);
  void SendOutageNotices(TimePoint now, Outbox& out);
  bool IsStale(TimePoint now) const;
  bool IsFed(TimePoint now) const;
  Duration StaleAfter() const;
  // Returns when a starting host reads the store itself unless it is fed
  // earlier.
  TimePoint FirstReadDue() const;
  // Returns the next step of the early read; null if it is finished or
  // disabled.
  std::optional<FeedStep> NextEarlyRead();

  // Logs a return of the store from an older copy; `items` was read after it.
  void LogEraChange(const PublishedItems& items);
  // Returns whether the store is in another era than this host's data.
  bool IsOtherEra(const PublishedItems& items) const;
  // Returns the delay before the full read that follows a refused watch.
  Duration RereadDelay();
  void Confirm(TimePoint at, std::uint64_t reader);
  bool IsAfterOutage(TimePoint now) const;
  FeedUpdate MakeUpdate(StoreRevision after,
                        PublishedPart part,
                        TimePoint now) const;
  // Sends all changes after `after`; the receivers have everything up to it.
  void SendUpdate(std::vector<HostId> to,
                  StoreRevision after,
                  TimePoint now,
                  Outbox& out);
  void OnPart(const HostId& host,
              const FeedPart& part,
              TimePoint now,
              Outbox& out);
  void OnUpdate(const HostId& host,
                const FeedUpdate& update,
                const EndpointRange& range,
                TimePoint now,
                Outbox& out);
  FeedHello Hello(TimePoint now) const;
  void SendPendingHellos(TimePoint now, Outbox& out);
  void OnHello(const HostId& host,
               const FeedHello& hello,
               TimePoint now,
               Outbox& out);
  // Returns the time from which this host counts as not fed.
  TimePoint FeedMissingSince(TimePoint now) const;
  // Sends periodic hellos: a link without traffic is considered dead.
  void KeepLinksAlive(TimePoint now, Outbox& out);
  Duration NextBackoff(TimePoint now);
  Duration Jittered(Duration time);
  // Returns a random duration between zero and `time`.
  Duration UpTo(Duration time);

  // Only the seeds change after construction.
  PublishedFeedOptions options_;
  Random random_;
  std::int64_t rank_ = FeedHello::kNoSeed;
  // Number of hosts in the fleet as stated by the last update.
  std::int64_t reported_hosts_ = 0;
  PublishedView view_;
  FeedPeers peers_;
  HostNumberAllocator numbers_;
  FeedCounters counters_;

  std::optional<TimePoint> started_at_;
  // When the store last confirmed the data of this host.
  std::optional<TimePoint> confirmed_at_;
  // The reader that received this confirmation, and the reader ID of this
  // process. Each process draws its ID at random; IDs of seeds are lower than
  // those of other hosts and ordered by rank.
  std::uint64_t confirmed_by_reader_ = 0;
  std::uint64_t own_reader_id_ = 0;
  std::uint64_t fed_by_reader_ = 0;
  // The latest store confirmation received from a peer.
  std::optional<TimePoint> fed_at_;
  bool reads_store_ = false;
  // The early read has not finished; and the partial result that it returned
  // first.
  bool is_early_read_pending_ = false;
  std::optional<PublishedItems> early_part_;
  // When the early read finished.
  std::optional<TimePoint> early_read_done_at_;
  // A full read has succeeded since this host began to read the store.
  bool is_synced_ = false;
  bool lost_contact_ = false;
  TimePoint next_outage_notice_;
  // Data read by this host was sent to a lower-ranked host that reported an
  // outage.
  bool has_updated_feeder_ = false;
  // `after_outage` of the last update.
  bool feeder_after_outage_ = false;
  TimePoint next_call_;
  TimePoint next_hello_;
  Duration backoff_{};
  std::optional<TimePoint> store_regained_at_;
  // Delay before the next full read that a refused watch requires.
  Duration reread_delay_{};
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_FEED_H_
