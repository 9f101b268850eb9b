#include "fleet/published_feed.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "fleet/early_read_filter.h"
#include "fleet/seed_order.h"

namespace damasktack {

namespace {

// Where nothing is due a host looks again after this.
constexpr Duration kLongestWait = std::chrono::seconds(1);
constexpr Duration kShortestWait = std::chrono::milliseconds(1);

}  // namespace

PublishedFeed::PublishedFeed(PublishedFeedOptions options,
                             std::uint64_t random_seed)
    : options_(std::move(options)),
      random_(random_seed),
      awaits_copy_(options_.early_read) {
  FindRank();
}

void PublishedFeed::FindRank() {
  const auto own = std::ranges::find(options_.seeds, options_.address);
  rank_ = own == options_.seeds.end() ? FeedHello::kNoSeed
                                      : own - options_.seeds.begin();
  peers_.SetRank(rank_);
  seating_.SetRank(IsSeed() ? std::optional(rank_) : std::nullopt,
                   static_cast<std::int64_t>(options_.seeds.size()));
  const std::string& name = options_.self.text();
  constexpr unsigned kRankBits = 20;
  const auto drawn = XXH3_64bits(name.data(), name.size()) ^ random_();
  own_number_ = (static_cast<std::uint64_t>(rank_) << (64U - kRankBits)) |
                (drawn >> kRankBits);
}

void PublishedFeed::SetSeeds(std::vector<SocketAddress> seeds) {
  options_.seeds = std::move(seeds);
  FindRank();
  // Peers have to hear of the new rank.
  peers_.GreetAnew();
}

Duration PublishedFeed::StaleAfter() const {
  return !IsSeed() ? options_.stale : options_.seed_stale;
}

TimePoint PublishedFeed::StartDue() const {
  if (copied_at_) {
    return std::min<TimePoint>(*copied_at_ + options_.copy_patience,
                               *started_at_ + options_.longest_start);
  }
  return *started_at_ + (view_.routes() ? options_.copy_patience
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
    return now >= StartDue();
  }
  return now - *confirmed_at_ >= StaleAfter();
}

bool PublishedFeed::IsFed(TimePoint now) const {
  return fed_at_ && now - *fed_at_ < StaleAfter();
}

void PublishedFeed::Confirm(TimePoint at, std::uint64_t reader) {
  if (!confirmed_at_ || *confirmed_at_ < at) {
    confirmed_at_ = at;
    confirmed_to_ = reader;
  }
}

FeedStep PublishedFeed::Next(TimePoint now) {
  if (!started_at_) {
    started_at_ = now;
    next_call_ = now;
  }
  view_.Advance(now);
  if (const std::optional<FeedStep> step = EarlyRead()) {
    return *step;
  }
  const bool reads = ShouldRead(now);
  if (reads != reads_store_) {
    reads_store_ = reads;
    BeginReading(now);
  }
  HoldToOutage(now);
  Duration wait =
      reads_store_ && lost_contact_ ? options_.outage_word : kLongestWait;
  if (const auto next = view_.NextChange()) {
    wait = std::min<Duration>(wait, *next - now);
  }
  if (!reads_store_) {
    const TimePoint due =
        confirmed_at_ ? *confirmed_at_ + StaleAfter() : StartDue();
    wait = std::min<Duration>(wait, due - now);
    const TimePoint missed = UnfedSince(now);
    wait = std::min<Duration>(
        wait, now < missed ? missed - now : options_.seed_patience);
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

// The first seed reads all anyway, and others wait for it.
std::optional<FeedStep> PublishedFeed::EarlyRead() {
  if (awaits_copy_ && !part_) {
    ++counters_.reads;
    return FeedStep{FeedStep::Kind::kReadPart, options_.initial_feed_timeout};
  }
  if (awaits_copy_ && rank_ != 0) {
    return FeedStep{FeedStep::Kind::kReadEndpoints,
                    options_.initial_feed_timeout};
  }
  awaits_copy_ = false;
  return std::nullopt;
}

// Of several hosts that read for seeds the one with the lowest number goes on.
bool PublishedFeed::ShouldRead(TimePoint now) const {
  if (rank_ == 0) {
    return true;
  }
  if (IsFed(now)) {
    return reads_store_ && has_helped_ && fed_by_ > own_number_;
  }
  return reads_store_ || IsStale(now);
}

void PublishedFeed::BeginReading(TimePoint now) {
  is_synced_ = false;
  has_helped_ = false;
  backoff_ = Duration::zero();
  next_call_ = now;
  if (!IsSeed() && KnowsOfOutage(now)) {
    next_call_ =
        now + UpTo(OutageInterval() - options_.longest_follower_backoff);
  }
  if (!reads_store_) {
    peers_.ForgetOutages();
  }
  spdlog::info("event=store-reader reads={} rank={} revision={}", reads_store_,
               rank_, view_.revision());
}

Duration PublishedFeed::OutageInterval() const {
  return std::max<Duration>(options_.longest_follower_backoff,
                            options_.outage_share * told_hosts_);
}

// The seed that asked for this host is gone: from now on it asks itself.
void PublishedFeed::HoldToOutage(TimePoint now) {
  if (!IsSeed() && !KnowsOfOutage(now)) {
    const Duration longest = 2 * options_.longest_follower_backoff;
    next_call_ = std::min(next_call_, now + longest);
  }
}

// What a host that is fed lost itself says nothing: a seed that the store
// turned away, and that another seed fed, would have its hosts keep removed
// endpoints for longer.
bool PublishedFeed::IsAfterOutage(TimePoint now) const {
  if (IsFed(now)) {
    return feeder_after_outage_;
  }
  return lost_contact_ ||
         (regained_at_ && now - *regained_at_ < options_.after_outage);
}

// After a loss of power all hosts read all endpoints at once, and each of them
// refuses its calls or lets them wait meanwhile. By a part a host can serve,
// where it names some endpoints of each service.
void PublishedFeed::OnReadPart(PublishedItems part, TimePoint now) {
  if (ServesEachRoute(part)) {
    view_.TakeSome(part, now);
  }
  part_ = std::move(part);
}

// Confirms nothing: the copy may be old.
void PublishedFeed::OnReadEndpoints(PublishedItems all, TimePoint now) {
  awaits_copy_ = false;
  copied_at_ = now;
  if (part_) {
    all.current = std::min(all.current, part_->current);
    std::ranges::copy_if(part_->items, std::back_inserter(all.items),
                         IsOfOperator);
    part_.reset();
  }
  view_.ApplyFullRead(all, false, now);
}

void PublishedFeed::OnReadAll(const PublishedItems& all, TimePoint now) {
  view_.ApplyFullRead(all, IsAfterOutage(now), now);
  is_synced_ = true;
  backoff_ = Duration::zero();
  if (std::exchange(lost_contact_, false)) {
    regained_at_ = now;
    spdlog::info("event=store-regained revision={}", view_.revision());
  }
  Confirm(now, own_number_);
}

void PublishedFeed::OnWatched(const PublishedItems& changes, TimePoint now) {
  view_.ApplyChanges(changes, IsAfterOutage(now), now);
  Confirm(now, own_number_);
  if (!changes.items.empty()) {
    next_call_ = now + options_.gather;
  }
}

void PublishedFeed::OnFailure(const Error& error, TimePoint now) {
  awaits_copy_ = false;
  is_synced_ = false;
  ++counters_.failures;
  // Old changes were dropped; that is no loss of contact.
  if (error.kind == ErrorKind::kStale) {
    spdlog::info("event=store-history-lost revision={}", view_.revision());
    return;
  }
  next_call_ = now + NextBackoff(now);
  if (!std::exchange(lost_contact_, true)) {
    spdlog::warn("event=store-lost revision={} {}", view_.revision(),
                 ToString(error));
  }
}

Duration PublishedFeed::NextBackoff(TimePoint now) {
  if (!IsSeed() && KnowsOfOutage(now)) {
    return Jittered(OutageInterval());
  }
  const Duration longest =
      !IsSeed() ? options_.longest_follower_backoff : options_.longest_backoff;
  backoff_ = std::clamp(2 * backoff_, options_.shortest_backoff, longest);
  return Jittered(backoff_);
}

HostNumber PublishedFeed::Seat(TimePoint now) const {
  const bool is_settled =
      started_at_ && now - *started_at_ >= options_.seat_settling;
  return is_settled ? seating_.Own(now) : HostNumber();
}

// From half of it to one and a half, so that hosts that lost the store together
// do not come back together.
Duration PublishedFeed::Jittered(Duration time) {
  return time / 2 + UpTo(time);
}

Duration PublishedFeed::UpTo(Duration time) {
  constexpr std::uint32_t kScale = 1000;
  return time * UniformBelow(random_, kScale) / kScale;
}

FeedHello PublishedFeed::Hello(TimePoint now) const {
  return {rank_, options_.address, view_.revision(), peers_.CountFollowers(),
          seating_.Own(now)};
}

std::int64_t PublishedFeed::KnownHosts() const {
  const bool is_head = reads_store_ && IsSeed();
  return is_head ? peers_.CountHosts() : told_hosts_;
}

void PublishedFeed::OnLinkUp(const HostId& host, TimePoint now, Outbox& out) {
  peers_.OnLinkUp(host);
  seating_.OnLinkUp(host);
  Greet(now, out);
}

// A host that reads a copy says hello when it has it: told before what it has,
// its seed would send it all of that.
void PublishedFeed::Greet(TimePoint now, Outbox& out) {
  if (awaits_copy_) {
    return;
  }
  for (const HostId& it : peers_.TakeUngreeted()) {
    out.Send(it, Hello(now));
  }
}

void PublishedFeed::OnLinkDown(const HostId& host, TimePoint now) {
  peers_.OnLinkDown(host);
  seating_.OnLinkDown(host, now);
}

bool PublishedFeed::HasNewsFor(const FeedPeer& peer) const {
  const bool is_behind = peer.sent < view_.revision();
  const bool is_older = peer.sent_confirmed < *confirmed_at_;
  if (peers_.Follows(peer)) {
    return is_behind || is_older;
  }
  return peers_.IsFeeder(peer) && peer.outage_at &&
         (is_behind || (is_older && IsReadingWell()));
}

bool PublishedFeed::KnowsOfOutage(TimePoint now) const {
  return view_.routes() &&
         peers_.HaveWordOfOutage(options_.outage_word_holds, now);
}

void PublishedFeed::OnMessage(const HostId& host,
                              const PeerMessage& message,
                              TimePoint now,
                              Outbox& out) {
  if (const auto* hello = std::get_if<FeedHello>(&message)) {
    TakeHello(host, *hello, now, out);
  } else if (const auto* given = std::get_if<FeedNumberAssignment>(&message)) {
    seating_.OnSeat(host, given->seat);
  } else if (const auto* update = std::get_if<FeedUpdate>(&message)) {
    Take(host, *update, {}, now, out);
  } else if (const auto* part = std::get_if<FeedPart>(&message)) {
    ApplyPart(host, *part, now, out);
  } else if (const auto* outage = std::get_if<FeedOutage>(&message)) {
    peers_.at(host).outage_at = now;
    told_hosts_ = outage->hosts > 0 ? outage->hosts : told_hosts_;
  }
}

void PublishedFeed::TakeHello(const HostId& host,
                              const FeedHello& hello,
                              TimePoint now,
                              Outbox& out) {
  FeedPeer& peer = peers_.at(host);
  peer.hello = hello;
  peer.sent = hello.revision;
  const bool is_behind =
      peer.sent < view_.revision() || peer.sent_confirmed == TimePoint();
  if (peers_.Follows(peer) && confirmed_at_ && is_behind) {
    SendUpdate({host}, peer.sent, now, out);
  }
  seating_.HearSeats(hello.seat.seats);
  if (IsSeed() && !peer.IsSeed()) {
    const HostNumber seat =
        seating_.SeatOf(host, hello.seat, peers_.MostFollowersElsewhere(), now);
    if (seat != hello.seat) {
      out.Send(host, FeedNumberAssignment{seat});
    }
  }
}

void PublishedFeed::ApplyPart(const HostId& host,
                              const FeedPart& part,
                              TimePoint now,
                              Outbox& out) {
  FeedTransfer& transfer = peers_.at(host).transfer;
  if (transfer.Continues(part, options_.part_patience, now)) {
    Take(host, part.update, part.range, now, out);
  } else if (part.range.IsLast()) {
    out.Send(host, Hello(now));
  }
}

void PublishedFeed::Take(const HostId& host,
                         const FeedUpdate& update,
                         const EndpointRange& range,
                         TimePoint now,
                         Outbox& out) {
  ++counters_.updates_received;
  // Changes between are missing: a frame was dropped, or a part of them is
  // still to come.
  if (update.after > view_.revision()) {
    if (!peers_.at(host).transfer.IsUnderWay(now)) {
      out.Send(host, Hello(now));
    }
    return;
  }
  view_.ApplyPart(range, update.changes,
                  update.whole ? &update.present : nullptr, update.after_outage,
                  now);
  if (view_.TakeMissesBook()) {
    peers_.at(host).transfer = {};
    FeedHello hello = Hello(now);
    hello.revision = 0;
    out.Send(host, std::move(hello));
    return;
  }
  if (!range.IsLast()) {
    return;
  }
  // One that knows less than this host confirms nothing.
  if (update.changes.current < view_.revision()) {
    return;
  }
  FeedPeer& peer = peers_.at(host);
  if (peers_.IsFeeder(peer)) {
    told_hosts_ = update.hosts;
  }
  // A seed that this host reads for says it again, later by the time that
  // messages travel. Taken for another's, it had the only reader stop.
  if (update.reader == own_number_) {
    return;
  }
  const TimePoint confirmed = now - update.age;
  Confirm(confirmed, update.reader);
  if (!fed_at_ || *fed_at_ < confirmed) {
    fed_at_ = confirmed;
    fed_by_ = update.reader;
  }
  peer.fed_at = std::max(peer.fed_at.value_or(confirmed), confirmed);
  peer.sent = std::max(peer.sent, update.changes.current);
  peer.sent_confirmed = std::max(peer.sent_confirmed, confirmed);
  feeder_after_outage_ = update.after_outage;
}

FeedUpdate PublishedFeed::MakeUpdate(Revision after,
                                     PublishedPart part,
                                     TimePoint now) const {
  FeedUpdate update;
  update.after = after;
  update.changes = std::move(part.changes);
  update.whole = part.whole;
  update.present = std::move(part.present);
  update.after_outage = IsAfterOutage(now);
  update.hosts = KnownHosts();
  update.reader = confirmed_to_;
  update.age = std::max<Duration>(now - *confirmed_at_, Duration::zero());
  return update;
}

void PublishedFeed::SendUpdate(std::vector<HostId> to,
                               Revision after,
                               TimePoint now,
                               Outbox& out) {
  for (const HostId& it : to) {
    FeedPeer& peer = peers_.at(it);
    peer.sent = view_.revision();
    peer.sent_confirmed = *confirmed_at_;
    ++counters_.updates_sent;
  }
  EndpointRange range;
  do {
    PublishedPart part =
        view_.PartAfter(after, range.end, options_.most_part_entries, now);
    range = part.range;
    FeedUpdate update = MakeUpdate(after, std::move(part), now);
    if (range.IsFirst() && range.IsLast()) {
      out.SendToAll(to, std::move(update));
    } else {
      out.SendToAll(to, FeedPart{std::move(update), range});
    }
  } while (!range.IsLast());
}

void PublishedFeed::Feed(TimePoint now, Outbox& out) {
  Greet(now, out);
  KeepLinksAlive(now, out);
  TellOutage(now, out);
  if (!confirmed_at_) {
    return;
  }
  // Nearly all peers have the same already, and get the same update.
  std::map<Revision, std::vector<HostId>> behind;
  for (const auto& [host, peer] : peers_.all()) {
    if (HasNewsFor(peer)) {
      behind[peer.sent].push_back(host);
      has_helped_ = has_helped_ || peers_.IsFeeder(peer);
    }
  }
  for (auto& [after, hosts] : behind) {
    SendUpdate(std::move(hosts), after, now, out);
  }
}

void PublishedFeed::TellOutage(TimePoint now, Outbox& out) {
  const bool asks_in_vain = reads_store_ && lost_contact_;
  const bool is_concerned =
      IsSeed() && !IsFed(now) && (asks_in_vain || KnowsOfOutage(now));
  if (!is_concerned || now < next_outage_word_) {
    return;
  }
  next_outage_word_ = now + options_.outage_word;
  out.SendToAll(peers_.Followers(), FeedOutage{KnownHosts()});
}

TimePoint PublishedFeed::UnfedSince(TimePoint now) const {
  return fed_at_ ? *fed_at_ + options_.stale / 2 : started_at_.value_or(now);
}

void PublishedFeed::KeepLinksAlive(TimePoint now, Outbox& out) {
  if (awaits_copy_ || now < next_hello_) {
    return;
  }
  next_hello_ = now + options_.hello;
  for (const auto& [host, peer] : peers_.all()) {
    if (peers_.IsFeeder(peer) || (IsSeed() && peer.IsSeed())) {
      out.Send(host, Hello(now));
    }
  }
}

std::vector<SocketAddress> PublishedFeed::WantedSeeds(TimePoint now) const {
  if (IsSeed()) {
    // A seed follows those before it.
    return {options_.seeds.begin(), options_.seeds.begin() + rank_};
  }
  std::vector<SocketAddress> seeds =
      InOrderFor(options_.self, options_.address, options_.seeds);
  // Links to seeds that come before the one that attends to this host stay
  // wanted, and it moves to them once they do. A host dropped the link that fed
  // it in favour of a seed that did not, and had it again a second later.
  const auto attending =
      std::ranges::find_if(seeds, [&](const SocketAddress& it) {
        return peers_.IsAttendedBy(it, options_, now);
      });
  const bool is_attended = attending != seeds.end();
  const auto kept =
      is_attended ? static_cast<std::size_t>(attending - seeds.begin()) + 1 : 1;
  const Duration unfed =
      KnowsOfOutage(now)
          ? Duration::zero()
          : std::max<Duration>(now - UnfedSince(now), Duration::zero());
  const auto most =
      static_cast<std::size_t>(1 + unfed / options_.seed_patience);
  seeds.resize(std::min(seeds.size(), std::max(kept, most)));
  return seeds;
}

}  // namespace damasktack
