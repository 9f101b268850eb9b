#include "fleet/published_feed.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <string>
#include <utility>

#include "fleet/early_read_filter.h"
#include "fleet/seed_order.h"
#include "fleet/store_revision.h"

namespace damasktack {

namespace {

// Bounds of the wait when no step is due.
constexpr Duration kLongestWait = std::chrono::seconds(1);
constexpr Duration kShortestWait = std::chrono::milliseconds(1);

std::string ToLogFields(StoreRevision revision) {
  return "era=" + std::to_string(revision.era) +
         " revision=" + std::to_string(revision.number);
}

}  // namespace

PublishedFeed::PublishedFeed(PublishedFeedOptions options,
                             std::uint64_t random_seed)
    : options_(std::move(options)),
      random_(random_seed),
      is_early_read_pending_(options_.early_read) {
  UpdateRank();
}

void PublishedFeed::UpdateRank() {
  const auto own = std::ranges::find(options_.seeds, options_.address);
  rank_ = own == options_.seeds.end() ? FeedHello::kNoSeed
                                      : own - options_.seeds.begin();
  peers_.SetRank(rank_);
  numbers_.SetRank(IsSeed() ? std::optional(rank_) : std::nullopt,
                   static_cast<std::int64_t>(options_.seeds.size()));
  const std::string& name = options_.self.text();
  constexpr unsigned kRankBits = 20;
  const auto random_bits = XXH3_64bits(name.data(), name.size()) ^ random_();
  own_reader_id_ = (static_cast<std::uint64_t>(rank_) << (64U - kRankBits)) |
                   (random_bits >> kRankBits);
}

void PublishedFeed::SetSeeds(std::vector<SocketAddress> seeds) {
  options_.seeds = std::move(seeds);
  UpdateRank();
  // Peers need a new hello because it carries the rank.
  peers_.ResetHellos();
}

Duration PublishedFeed::StaleAfter() const {
  return !IsSeed() ? options_.stale_after : options_.seed_stale_after;
}

TimePoint PublishedFeed::FirstReadDue() const {
  if (early_read_done_at_) {
    return std::min<TimePoint>(
        *early_read_done_at_ + options_.copy_feed_timeout,
        *started_at_ + options_.max_start_wait);
  }
  return *started_at_ + (view_.routes() ? options_.copy_feed_timeout
                                        : options_.initial_feed_timeout);
}

std::optional<Duration> PublishedFeed::Age(TimePoint now) const {
  if (!confirmed_at_) {
    return std::nullopt;
  }
  return now - *confirmed_at_;
}

bool PublishedFeed::IsStale(TimePoint now) const {
  if (!confirmed_at_) {
    return now >= FirstReadDue();
  }
  return now - *confirmed_at_ >= StaleAfter();
}

bool PublishedFeed::IsFed(TimePoint now) const {
  return fed_at_ && now - *fed_at_ < StaleAfter();
}

void PublishedFeed::Confirm(TimePoint at, std::uint64_t reader) {
  if (!confirmed_at_ || *confirmed_at_ < at) {
    confirmed_at_ = at;
    confirmed_by_reader_ = reader;
  }
}

FeedStep PublishedFeed::NextStep(TimePoint now) {
  if (!started_at_) {
    started_at_ = now;
    next_call_ = now;
  }
  view_.Advance(now);
  if (const std::optional<FeedStep> step = NextEarlyRead()) {
    return *step;
  }
  const bool reads = ShouldRead(now);
  if (reads != reads_store_) {
    reads_store_ = reads;
    BeginReading(now);
  }
  LimitOutageWait(now);
  Duration wait = reads_store_ && lost_contact_
                      ? options_.outage_notice_interval
                      : kLongestWait;
  if (const auto next = view_.NextChange()) {
    wait = std::min<Duration>(wait, *next - now);
  }
  if (!reads_store_) {
    const TimePoint due =
        confirmed_at_ ? *confirmed_at_ + StaleAfter() : FirstReadDue();
    wait = std::min<Duration>(wait, due - now);
    const TimePoint missing_since = FeedMissingSince(now);
    wait =
        std::min<Duration>(wait, now < missing_since ? missing_since - now
                                                     : options_.seed_timeout);
    return {FeedStep::Kind::kWait, std::max(wait, kShortestWait)};
  }
  if (now < next_call_) {
    wait = std::min<Duration>(wait, next_call_ - now);
    return {FeedStep::Kind::kWait, std::max(wait, kShortestWait)};
  }
  if (!is_synced_) {
    ++counters_.reads;
    return {FeedStep::Kind::kReadAll, options_.watch};
  }
  ++counters_.watches;
  return {FeedStep::Kind::kWatch,
          std::clamp<Duration>(wait, kShortestWait, options_.watch)};
}

// The first seed skips the endpoint read: it performs a full read right away,
// and the other hosts wait for its update.
std::optional<FeedStep> PublishedFeed::NextEarlyRead() {
  if (is_early_read_pending_ && !early_part_) {
    ++counters_.reads;
    return FeedStep{FeedStep::Kind::kReadPart, options_.initial_feed_timeout};
  }
  if (is_early_read_pending_ && rank_ != 0) {
    return FeedStep{FeedStep::Kind::kReadEndpoints,
                    options_.initial_feed_timeout};
  }
  is_early_read_pending_ = false;
  return std::nullopt;
}

// If several hosts read on behalf of seeds, only the one with the lowest reader
// ID continues.
bool PublishedFeed::ShouldRead(TimePoint now) const {
  if (rank_ == 0) {
    return true;
  }
  if (IsFed(now)) {
    return reads_store_ && has_updated_feeder_ &&
           fed_by_reader_ > own_reader_id_;
  }
  return reads_store_ || IsStale(now);
}

void PublishedFeed::BeginReading(TimePoint now) {
  is_synced_ = false;
  has_updated_feeder_ = false;
  backoff_ = Duration::zero();
  next_call_ = now;
  if (!IsSeed() && IsOutageReported(now)) {
    next_call_ = now + UpTo(OutageInterval() - options_.max_follower_backoff);
  }
  if (!reads_store_) {
    peers_.ClearOutages();
  }
  spdlog::info("event=store-reader reads={} rank={} {}", reads_store_, rank_,
               ToLogFields(view_.revision()));
}

Duration PublishedFeed::OutageInterval() const {
  return std::max<Duration>(options_.max_follower_backoff,
                            options_.outage_call_spacing * reported_hosts_);
}

// Shortens the wait of an outage interval once no seed reports the outage any
// longer: the seed that retried on behalf of this host is gone, so this host
// retries by itself.
void PublishedFeed::LimitOutageWait(TimePoint now) {
  if (!IsSeed() && !IsOutageReported(now)) {
    const Duration longest = 2 * options_.max_follower_backoff;
    next_call_ = std::min(next_call_, now + longest);
  }
}

// While this host is fed, only the feeder knows whether the store was
// unreachable. Otherwise a seed that the store rejects, but that another seed
// feeds, would make its followers keep removed endpoints longer.
bool PublishedFeed::IsAfterOutage(TimePoint now) const {
  if (IsFed(now)) {
    return feeder_after_outage_;
  }
  return lost_contact_ || (store_regained_at_ && now - *store_regained_at_ <
                                                     options_.post_outage_time);
}

// After a power loss all hosts read all endpoints at once and would reject or
// queue their requests until the read ends. The partial result is enough to
// serve requests if it contains some endpoints of each service.
void PublishedFeed::OnReadPart(PublishedItems part, TimePoint now) {
  PutInEra(part);
  if (HasEndpointsForEachService(part)) {
    view_.ApplyPartialRead(part, now);
  }
  early_part_ = std::move(part);
}

// Does not confirm the data: the replica may be stale.
void PublishedFeed::OnReadEndpoints(PublishedItems all, TimePoint now) {
  PutInEra(all);
  is_early_read_pending_ = false;
  early_read_done_at_ = now;
  if (early_part_) {
    all.current = std::min(all.current, early_part_->current);
    std::ranges::copy_if(early_part_->items, std::back_inserter(all.items),
                         IsOperatorItem);
    early_part_.reset();
  }
  view_.ApplyFullRead(all, false, now);
}

bool PublishedFeed::IsOtherEra(const PublishedItems& items) const {
  return view_.revision() > 0 && items.current.era != view_.revision().era;
}

void PublishedFeed::LogEraChange(const PublishedItems& items) {
  spdlog::warn("event=store-era-changed from={} to={} revision={} current={}",
               view_.revision().era, items.current.era, view_.revision().number,
               items.current.number);
}

void PublishedFeed::OnReadAll(PublishedItems all, TimePoint now) {
  PutInEra(all);
  if (IsOtherEra(all)) {
    LogEraChange(all);
    store_regained_at_ = now;
  }
  view_.ApplyFullRead(all, IsAfterOutage(now), now);
  is_synced_ = true;
  backoff_ = Duration::zero();
  if (std::exchange(lost_contact_, false)) {
    store_regained_at_ = now;
    spdlog::info("event=store-regained {}", ToLogFields(view_.revision()));
  }
  Confirm(now, own_reader_id_);
}

void PublishedFeed::OnWatched(PublishedItems changes, TimePoint now) {
  PutInEra(changes);
  if (IsOtherEra(changes)) {
    // The base of these changes is a revision that the store gave out again.
    is_synced_ = false;
    next_call_ = now + RereadDelay();
    return;
  }
  reread_delay_ = Duration::zero();
  view_.ApplyChanges(changes, IsAfterOutage(now), now);
  Confirm(now, own_reader_id_);
  if (!changes.items.empty()) {
    next_call_ = now + options_.gather;
  }
}

void PublishedFeed::OnFailure(const Error& error, TimePoint now) {
  is_early_read_pending_ = false;
  is_synced_ = false;
  ++counters_.failures;
  // The store has compacted its history; the store itself was reached.
  if (error.kind == ErrorKind::kStale) {
    spdlog::info("event=store-history-lost {}", ToLogFields(view_.revision()));
    next_call_ = now + RereadDelay();
    return;
  }
  next_call_ = now + NextBackoff(now);
  if (!std::exchange(lost_contact_, true)) {
    spdlog::warn("event=store-lost {} {}", ToLogFields(view_.revision()),
                 ToString(error));
  }
}

// The first read follows at once, because changes wait for it. A store that
// goes on refusing watches must not be read without a pause.
Duration PublishedFeed::RereadDelay() {
  const Duration delay = reread_delay_;
  reread_delay_ =
      std::clamp(2 * delay, options_.min_backoff, options_.max_backoff);
  return delay;
}

Duration PublishedFeed::NextBackoff(TimePoint now) {
  if (!IsSeed() && IsOutageReported(now)) {
    return Jittered(OutageInterval());
  }
  const Duration longest =
      !IsSeed() ? options_.max_follower_backoff : options_.max_backoff;
  backoff_ = std::clamp(2 * backoff_, options_.min_backoff, longest);
  return Jittered(backoff_);
}

HostNumber PublishedFeed::OwnHostNumber(TimePoint now) const {
  const bool is_settled =
      started_at_ && now - *started_at_ >= options_.number_settling_time;
  return is_settled ? numbers_.OwnNumber(now) : HostNumber();
}

// Returns a random duration between half and one and a half times `time`, so
// that hosts that lost the store together do not retry together.
Duration PublishedFeed::Jittered(Duration time) {
  return time / 2 + UpTo(time);
}

Duration PublishedFeed::UpTo(Duration time) {
  constexpr std::uint32_t kScale = 1000;
  return time * UniformBelow(random_, kScale) / kScale;
}

FeedHello PublishedFeed::Hello(TimePoint now) const {
  return {rank_, options_.address, view_.revision(), peers_.CountFollowers(),
          numbers_.OwnNumber(now)};
}

std::int64_t PublishedFeed::KnownHosts() const {
  const bool is_store_reader = reads_store_ && IsSeed();
  return is_store_reader ? peers_.CountHosts() : reported_hosts_;
}

void PublishedFeed::OnLinkUp(const HostId& host, TimePoint now, Outbox& out) {
  peers_.OnLinkUp(host);
  numbers_.OnLinkUp(host);
  SendPendingHellos(now, out);
}

// A host in its early read delays the hello until the read ends. Sent earlier,
// the hello would state revision 0 and the seed would send the full data.
void PublishedFeed::SendPendingHellos(TimePoint now, Outbox& out) {
  if (is_early_read_pending_) {
    return;
  }
  for (const HostId& it : peers_.TakePeersWithoutHello()) {
    out.Send(it, Hello(now));
  }
}

void PublishedFeed::OnLinkDown(const HostId& host, TimePoint now) {
  peers_.OnLinkDown(host);
  numbers_.OnLinkDown(host, now);
}

bool PublishedFeed::NeedsUpdate(const FeedPeer& peer) const {
  const bool is_behind = peer.known_revision < view_.revision();
  const bool is_older = peer.known_confirmed_at < *confirmed_at_;
  if (peers_.IsFollower(peer)) {
    return is_behind || is_older;
  }
  return peers_.IsFeeder(peer) && peer.outage_at &&
         (is_behind || (is_older && HasOwnConfirmation()));
}

bool PublishedFeed::IsOutageReported(TimePoint now) const {
  return view_.routes() &&
         peers_.AnyReportsOutage(options_.outage_notice_validity, now);
}

void PublishedFeed::OnMessage(const HostId& host,
                              const PeerMessage& message,
                              TimePoint now,
                              Outbox& out) {
  if (const auto* hello = std::get_if<FeedHello>(&message)) {
    OnHello(host, *hello, now, out);
  } else if (const auto* assigned =
                 std::get_if<FeedNumberAssignment>(&message)) {
    numbers_.OnNumberAssigned(host, assigned->host_number);
  } else if (const auto* update = std::get_if<FeedUpdate>(&message)) {
    OnUpdate(host, *update, {}, now, out);
  } else if (const auto* part = std::get_if<FeedPart>(&message)) {
    OnPart(host, *part, now, out);
  } else if (const auto* outage = std::get_if<FeedOutage>(&message)) {
    peers_.at(host).outage_at = now;
    reported_hosts_ = outage->hosts > 0 ? outage->hosts : reported_hosts_;
  }
}

void PublishedFeed::OnHello(const HostId& host,
                            const FeedHello& hello,
                            TimePoint now,
                            Outbox& out) {
  FeedPeer& peer = peers_.at(host);
  peer.hello = hello;
  peer.known_revision = hello.revision;
  const bool is_behind = peer.known_revision < view_.revision() ||
                         peer.known_confirmed_at == TimePoint();
  if (peers_.IsFollower(peer) && confirmed_at_ && is_behind) {
    SendUpdate({host}, peer.known_revision, now, out);
  }
  numbers_.RaiseNumberLimit(hello.host_number.number_count);
  if (IsSeed() && !peer.IsSeed()) {
    const HostNumber host_number = numbers_.AssignNumber(
        host, hello.host_number, peers_.MaxFollowersOfOtherSeeds(), now);
    if (host_number != hello.host_number) {
      out.Send(host, FeedNumberAssignment{host_number});
    }
  }
}

void PublishedFeed::OnPart(const HostId& host,
                           const FeedPart& part,
                           TimePoint now,
                           Outbox& out) {
  FeedTransfer& transfer = peers_.at(host).transfer;
  if (transfer.Continues(part, options_.part_timeout, now)) {
    OnUpdate(host, part.update, part.range, now, out);
  } else if (part.range.IsLast()) {
    out.Send(host, Hello(now));
  }
}

void PublishedFeed::OnUpdate(const HostId& host,
                             const FeedUpdate& update,
                             const EndpointRange& range,
                             TimePoint now,
                             Outbox& out) {
  ++counters_.updates_received;
  // Changes are missing in between: a frame was dropped, or a part of an update
  // has not arrived yet.
  if (update.after > view_.revision()) {
    if (!peers_.at(host).transfer.IsInProgress(now)) {
      out.Send(host, Hello(now));
    }
    return;
  }
  view_.ApplyPart(range, update.changes,
                  update.whole ? &update.present : nullptr, update.after_outage,
                  now);
  if (view_.TakeNeedsFullTable()) {
    peers_.at(host).transfer = {};
    FeedHello hello = Hello(now);
    hello.revision = 0;
    out.Send(host, std::move(hello));
    return;
  }
  if (!range.IsLast()) {
    return;
  }
  // A feeder with older data than this host confirms nothing.
  if (update.changes.current < view_.revision()) {
    return;
  }
  FeedPeer& peer = peers_.at(host);
  if (peers_.IsFeeder(peer)) {
    reported_hosts_ = update.hosts;
  }
  // A seed that received this confirmation from this host may echo it, later by
  // the message latency. Counting the echo as feeding stopped the only reader.
  if (update.reader == own_reader_id_) {
    return;
  }
  const TimePoint confirmed = now - update.age;
  Confirm(confirmed, update.reader);
  if (!fed_at_ || *fed_at_ < confirmed) {
    fed_at_ = confirmed;
    fed_by_reader_ = update.reader;
  }
  peer.fed_at = std::max(peer.fed_at.value_or(confirmed), confirmed);
  peer.known_revision = std::max(peer.known_revision, update.changes.current);
  peer.known_confirmed_at = std::max(peer.known_confirmed_at, confirmed);
  feeder_after_outage_ = update.after_outage;
}

FeedUpdate PublishedFeed::MakeUpdate(StoreRevision after,
                                     PublishedPart part,
                                     TimePoint now) const {
  FeedUpdate update;
  update.after = after;
  update.changes = std::move(part.changes);
  update.whole = part.whole;
  update.present = std::move(part.present);
  update.after_outage = IsAfterOutage(now);
  update.hosts = KnownHosts();
  update.reader = confirmed_by_reader_;
  update.age = std::max<Duration>(now - *confirmed_at_, Duration::zero());
  return update;
}

void PublishedFeed::SendUpdate(std::vector<HostId> to,
                               StoreRevision after,
                               TimePoint now,
                               Outbox& out) {
  for (const HostId& it : to) {
    FeedPeer& peer = peers_.at(it);
    peer.known_revision = view_.revision();
    peer.known_confirmed_at = *confirmed_at_;
    ++counters_.updates_sent;
  }
  EndpointRange range;
  do {
    PublishedPart part =
        view_.PartAfter(after, range.end, options_.max_part_entries, now);
    range = part.range;
    FeedUpdate update = MakeUpdate(after, std::move(part), now);
    if (range.IsFirst() && range.IsLast()) {
      out.SendToAll(to, std::move(update));
    } else {
      out.SendToAll(to, FeedPart{std::move(update), range});
    }
  } while (!range.IsLast());
}

void PublishedFeed::SendUpdates(TimePoint now, Outbox& out) {
  SendPendingHellos(now, out);
  KeepLinksAlive(now, out);
  SendOutageNotices(now, out);
  if (!confirmed_at_) {
    return;
  }
  // Peers at the same revision share one update; nearly all peers are at the
  // same one.
  std::map<StoreRevision, std::vector<HostId>> behind;
  for (const auto& [host, peer] : peers_.all()) {
    if (NeedsUpdate(peer)) {
      behind[peer.known_revision].push_back(host);
      has_updated_feeder_ = has_updated_feeder_ || peers_.IsFeeder(peer);
    }
  }
  for (auto& [after, hosts] : behind) {
    SendUpdate(std::move(hosts), after, now, out);
  }
}

void PublishedFeed::SendOutageNotices(TimePoint now, Outbox& out) {
  const bool is_cut_off = reads_store_ && lost_contact_;
  const bool has_notice =
      IsSeed() && !IsFed(now) && (is_cut_off || IsOutageReported(now));
  if (!has_notice || now < next_outage_notice_) {
    return;
  }
  next_outage_notice_ = now + options_.outage_notice_interval;
  out.SendToAll(peers_.Followers(), FeedOutage{KnownHosts()});
}

TimePoint PublishedFeed::FeedMissingSince(TimePoint now) const {
  return fed_at_ ? *fed_at_ + options_.stale_after / 2
                 : started_at_.value_or(now);
}

void PublishedFeed::KeepLinksAlive(TimePoint now, Outbox& out) {
  if (is_early_read_pending_ || now < next_hello_) {
    return;
  }
  next_hello_ = now + options_.hello_interval;
  for (const auto& [host, peer] : peers_.all()) {
    if (peers_.IsFeeder(peer) || (IsSeed() && peer.IsSeed())) {
      out.Send(host, Hello(now));
    }
  }
}

std::vector<SocketAddress> PublishedFeed::WantedSeeds(TimePoint now) const {
  if (IsSeed()) {
    // A seed follows the seeds of lower rank.
    return {options_.seeds.begin(), options_.seeds.begin() + rank_};
  }
  std::vector<SocketAddress> seeds =
      OrderSeedsFor(options_.self, options_.address, options_.seeds);
  // Keep the links to seeds that this host prefers over the one that serves it,
  // so it can move to a preferred seed once that one serves it. Without this
  // rule a host dropped the link that fed it in favor of a seed that did not,
  // and reconnected a second later.
  const auto serving =
      std::ranges::find_if(seeds, [&](const SocketAddress& it) {
        return peers_.IsServedBy(it, options_, now);
      });
  const bool is_served = serving != seeds.end();
  const auto min_links =
      is_served ? static_cast<std::size_t>(serving - seeds.begin()) + 1 : 1;
  const Duration unfed_for =
      IsOutageReported(now)
          ? Duration::zero()
          : std::max<Duration>(now - FeedMissingSince(now), Duration::zero());
  const auto tried_links =
      static_cast<std::size_t>(1 + unfed_for / options_.seed_timeout);
  seeds.resize(std::min(seeds.size(), std::max(min_links, tried_links)));
  return seeds;
}

}  // namespace damasktack
