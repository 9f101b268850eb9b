#include "fleet/published_feed.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace damasktack {

namespace {

// Where nothing is due a host looks again after this.
constexpr Duration kLongestWait = std::chrono::seconds(1);
constexpr Duration kShortestWait = std::chrono::milliseconds(1);

// Endpoints of a service with which its calls can be placed: not all of them
// are slow or full.
constexpr std::ptrdiff_t kFewestEndpoints = 4;

bool IsBook(const PublishedItem& item) {
  return std::holds_alternative<RouteBook>(item.value);
}

std::ptrdiff_t CountLive(const PublishedItems& items,
                         const ServiceId& service) {
  return std::ranges::count_if(items.items, [&](const PublishedItem& it) {
    const auto* endpoint = std::get_if<PublishedEndpoint>(&it.value);
    return endpoint != nullptr && endpoint->service == service &&
           endpoint->spec.state == ListedState::kLive;
  });
}

// Whether the items have a book and enough endpoints for all of it.
bool ServesEachRoute(const PublishedItems& items) {
  const auto book = std::ranges::find_if(items.items, IsBook);
  if (book == items.items.end()) {
    return false;
  }
  return std::ranges::all_of(
      std::get<RouteBook>(book->value).services, [&](const ServiceTraits& it) {
        return CountLive(items, it.id) >= kFewestEndpoints;
      });
}

// Where a seed stands in a host's order: those first whose address begins like
// the host's own, since networks number zones so and bytes between zones are
// billed; among these by a hash, which spreads the hosts over the seeds.
struct SeedPreference {
  std::ptrdiff_t differs_at = 0;
  std::uint64_t hash = 0;

  auto operator<=>(const SeedPreference&) const = default;
};

SeedPreference PreferenceOf(const PublishedFeedOptions& options,
                            const SocketAddress& seed) {
  const std::string& own = options.address.ip;
  const auto differs = std::ranges::mismatch(own, seed.ip).in1 - own.begin();
  const std::string text = options.self.text() + " " + ToString(seed);
  return {-differs, XXH3_64bits(text.data(), text.size())};
}

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
  for (auto& [host, peer] : peers_) {
    peer.is_greeted = false;
  }
}

Duration PublishedFeed::StaleAfter() const {
  return rank_ == FeedHello::kNoSeed ? options_.stale : options_.seed_stale;
}

TimePoint PublishedFeed::StartDue() const {
  if (copied_at_) {
    return std::min<TimePoint>(*copied_at_ + options_.copy_patience,
                               *started_at_ + options_.longest_start);
  }
  return *started_at_ +
         (view_.routes() ? options_.copy_patience : options_.start_patience);
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
    return FeedStep{FeedStep::Kind::kReadPart, options_.start_patience};
  }
  if (awaits_copy_ && rank_ != 0) {
    return FeedStep{FeedStep::Kind::kReadEndpoints, options_.start_patience};
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
  if (rank_ == FeedHello::kNoSeed && KnowsOfOutage(now)) {
    next_call_ =
        now + UpTo(OutageInterval() - options_.longest_follower_backoff);
  }
  if (!reads_store_) {
    for (auto& [host, peer] : peers_) {
      peer.outage_at.reset();
    }
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
  if (rank_ == FeedHello::kNoSeed && !KnowsOfOutage(now)) {
    const Duration longest = 2 * options_.longest_follower_backoff;
    next_call_ = std::min(next_call_, now + longest);
  }
}

// What a host that is fed lost itself says nothing: a seed that the store
// turned away, and that another seed fed, had its hosts keep removed endpoints
// for 1.5 s longer.
bool PublishedFeed::IsAfterOutage(TimePoint now) const {
  if (IsFed(now)) {
    return feeder_after_outage_;
  }
  return lost_contact_ ||
         (regained_at_ && now - *regained_at_ < options_.after_outage);
}

// After a loss of power 472 hosts read 1,080 endpoints each at once: that took
// 0.96 s, for all of which each of them refused its calls or let them wait. By
// a part a host can serve, where it names some endpoints of each service.
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
    std::ranges::copy_if(part_->items, std::back_inserter(all.items), IsBook);
    part_.reset();
  }
  view_.TakeAll(all, false, now);
}

void PublishedFeed::OnReadAll(const PublishedItems& all, TimePoint now) {
  view_.TakeAll(all, IsAfterOutage(now), now);
  is_synced_ = true;
  backoff_ = Duration::zero();
  if (std::exchange(lost_contact_, false)) {
    regained_at_ = now;
    spdlog::info("event=store-regained revision={}", view_.revision());
  }
  Confirm(now, own_number_);
}

void PublishedFeed::OnWatched(const PublishedItems& changes, TimePoint now) {
  view_.TakeChanges(changes, IsAfterOutage(now), now);
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
  if (rank_ == FeedHello::kNoSeed && KnowsOfOutage(now)) {
    return Jittered(OutageInterval());
  }
  const Duration longest = rank_ == FeedHello::kNoSeed
                               ? options_.longest_follower_backoff
                               : options_.longest_backoff;
  backoff_ = std::clamp(2 * backoff_, options_.shortest_backoff, longest);
  return Jittered(backoff_);
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

FeedHello PublishedFeed::Hello() const {
  return {rank_, options_.address, view_.revision(), CountFollowers()};
}

std::int64_t PublishedFeed::CountFollowers() const {
  return std::ranges::count_if(peers_, [&](const auto& it) {
    return Follows(it.second) && it.second.hello->rank == FeedHello::kNoSeed;
  });
}

// Each host follows one seed as a rule, so the seeds' counts add up; while one
// looks for another seed it is counted twice, which makes shares smaller.
std::int64_t PublishedFeed::KnownHosts() const {
  const bool is_head = reads_store_ && rank_ != FeedHello::kNoSeed;
  if (!is_head) {
    return told_hosts_;
  }
  std::int64_t hosts = 1 + CountFollowers();
  for (const auto& [host, peer] : peers_) {
    if (IsSeed(peer)) {
      hosts += 1 + peer.hello->followers;
    }
  }
  return hosts;
}

void PublishedFeed::OnLinkUp(const HostId& host,
                             TimePoint /*now*/,
                             Outbox& out) {
  peers_[host] = Peer();
  Greet(out);
}

// A host that reads a copy says hello when it has it: told before what it has,
// its seed would send it all of that.
void PublishedFeed::Greet(Outbox& out) {
  if (awaits_copy_) {
    return;
  }
  for (auto& [host, peer] : peers_) {
    if (!std::exchange(peer.is_greeted, true)) {
      out.Send(host, Hello());
    }
  }
}

void PublishedFeed::OnLinkDown(const HostId& host, TimePoint /*now*/) {
  peers_.erase(host);
}

bool PublishedFeed::Follows(const Peer& peer) const {
  return peer.hello && peer.hello->rank > rank_;
}

bool PublishedFeed::IsFeeder(const Peer& peer) const {
  return peer.hello && peer.hello->rank < rank_;
}

bool PublishedFeed::IsSeed(const Peer& peer) {
  return peer.hello && peer.hello->rank != FeedHello::kNoSeed;
}

bool PublishedFeed::HasNewsFor(const Peer& peer) const {
  const bool is_behind = peer.sent < view_.revision();
  const bool is_older = peer.sent_confirmed < *confirmed_at_;
  if (Follows(peer)) {
    return is_behind || is_older;
  }
  return IsFeeder(peer) && peer.outage_at &&
         (is_behind || (is_older && IsReadingWell()));
}

bool PublishedFeed::HasWordOfOutage(const Peer& peer, TimePoint now) const {
  return peer.outage_at && now - *peer.outage_at < options_.outage_word_holds;
}

bool PublishedFeed::KnowsOfOutage(TimePoint now) const {
  return view_.routes() && std::ranges::any_of(peers_, [&](const auto& it) {
           return HasWordOfOutage(it.second, now);
         });
}

void PublishedFeed::OnMessage(const HostId& host,
                              const PeerMessage& message,
                              TimePoint now,
                              Outbox& out) {
  if (const auto* hello = std::get_if<FeedHello>(&message)) {
    Peer& peer = peers_[host];
    peer.hello = *hello;
    peer.sent = hello->revision;
    const bool is_behind =
        peer.sent < view_.revision() || peer.sent_confirmed == TimePoint();
    if (Follows(peer) && confirmed_at_ && is_behind) {
      SendUpdate({host}, peer.sent, now, out);
    }
  } else if (const auto* update = std::get_if<FeedUpdate>(&message)) {
    Take(host, *update, now, out);
  } else if (const auto* outage = std::get_if<FeedOutage>(&message)) {
    peers_[host].outage_at = now;
    told_hosts_ = outage->hosts > 0 ? outage->hosts : told_hosts_;
  }
}

void PublishedFeed::Take(const HostId& host,
                         const FeedUpdate& update,
                         TimePoint now,
                         Outbox& out) {
  ++counters_.updates_received;
  // Changes between are missing: a frame was dropped.
  if (update.after > view_.revision()) {
    out.Send(host, Hello());
    return;
  }
  if (update.whole) {
    view_.TakeAllBut(update.changes, update.present, update.after_outage, now);
  } else {
    view_.TakeChanges(update.changes, update.after_outage, now);
  }
  if (view_.TakeMissesBook()) {
    out.Send(host, FeedHello{rank_, options_.address, 0, CountFollowers()});
    return;
  }
  // One that knows less than this host confirms nothing.
  if (update.changes.current < view_.revision()) {
    return;
  }
  Peer& peer = peers_[host];
  if (IsFeeder(peer)) {
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

FeedUpdate PublishedFeed::UpdateAfter(Revision after, TimePoint now) const {
  FeedUpdate update;
  update.after = after;
  update.whole = !view_.KnowsRemovalsAfter(after);
  update.changes = view_.ChangesAfter(after);
  if (update.whole) {
    update.present = view_.UnchangedSince(after);
  }
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
    Peer& peer = peers_[it];
    peer.sent = view_.revision();
    peer.sent_confirmed = *confirmed_at_;
    ++counters_.updates_sent;
  }
  out.SendToAll(std::move(to), UpdateAfter(after, now));
}

void PublishedFeed::Feed(TimePoint now, Outbox& out) {
  Greet(out);
  KeepLinksAlive(now, out);
  TellOutage(now, out);
  if (!confirmed_at_) {
    return;
  }
  // Nearly all peers have the same already, and get the same update.
  std::map<Revision, std::vector<HostId>> behind;
  for (const auto& [host, peer] : peers_) {
    if (HasNewsFor(peer)) {
      behind[peer.sent].push_back(host);
      has_helped_ = has_helped_ || IsFeeder(peer);
    }
  }
  for (auto& [after, hosts] : behind) {
    SendUpdate(std::move(hosts), after, now, out);
  }
}

void PublishedFeed::TellOutage(TimePoint now, Outbox& out) {
  const bool asks_in_vain = reads_store_ && lost_contact_;
  const bool is_concerned = rank_ != FeedHello::kNoSeed && !IsFed(now) &&
                            (asks_in_vain || KnowsOfOutage(now));
  if (!is_concerned || now < next_outage_word_) {
    return;
  }
  next_outage_word_ = now + options_.outage_word;
  std::vector<HostId> followers;
  for (const auto& [host, peer] : peers_) {
    if (Follows(peer)) {
      followers.push_back(host);
    }
  }
  out.SendToAll(std::move(followers), FeedOutage{KnownHosts()});
}

TimePoint PublishedFeed::UnfedSince(TimePoint now) const {
  return fed_at_ ? *fed_at_ + options_.stale / 2 : started_at_.value_or(now);
}

void PublishedFeed::KeepLinksAlive(TimePoint now, Outbox& out) {
  if (awaits_copy_ || now < next_hello_) {
    return;
  }
  next_hello_ = now + options_.hello;
  const bool is_seed = rank_ != FeedHello::kNoSeed;
  for (const auto& [host, peer] : peers_) {
    if (IsFeeder(peer) || (is_seed && IsSeed(peer))) {
      out.Send(host, Hello());
    }
  }
}

bool PublishedFeed::IsAttendedBy(const SocketAddress& seed,
                                 TimePoint now) const {
  return std::ranges::any_of(peers_, [&](const auto& it) {
    const Peer& peer = it.second;
    const bool feeds = peer.fed_at && now - *peer.fed_at < options_.seed_memory;
    return peer.hello && peer.hello->address == seed &&
           (feeds || HasWordOfOutage(peer, now));
  });
}

std::vector<SocketAddress> PublishedFeed::WantedSeeds(TimePoint now) const {
  std::vector<SocketAddress> seeds = options_.seeds;
  if (rank_ != FeedHello::kNoSeed) {
    // A seed follows those before it.
    seeds.resize(static_cast<std::size_t>(rank_));
    return seeds;
  }
  std::ranges::sort(seeds, {}, [&](const SocketAddress& it) {
    return PreferenceOf(options_, it);
  });
  // Links to seeds that come before the one that attends to this host stay
  // wanted, and it moves to them once they do. A host dropped the link that fed
  // it in favour of a seed that did not, and had it again a second later.
  const auto attending = std::ranges::find_if(
      seeds, [&](const SocketAddress& it) { return IsAttendedBy(it, now); });
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
