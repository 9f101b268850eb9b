#include "fleet/published_feed.h"

#include <spdlog/spdlog.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

// Where nothing is due a host looks again after this.
constexpr Duration kLongestWait = std::chrono::seconds(1);
constexpr Duration kShortestWait = std::chrono::milliseconds(1);

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
    : options_(std::move(options)), random_(random_seed) {
  const auto own = std::ranges::find(options_.seeds, options_.address);
  if (own != options_.seeds.end()) {
    rank_ = own - options_.seeds.begin();
  }
}

Duration PublishedFeed::StaleAfter() const {
  return rank_ == FeedHello::kNoSeed ? options_.stale : options_.seed_stale;
}

Duration PublishedFeed::StartPatience() const {
  return view_.routes() ? options_.copy_patience : options_.start_patience;
}

std::optional<Duration> PublishedFeed::Age(TimePoint now) const {
  if (!confirmed_at_) {
    return std::nullopt;
  }
  return now - *confirmed_at_;
}

bool PublishedFeed::IsStale(TimePoint now) const {
  if (!confirmed_at_) {
    return now - *started_at_ >= StartPatience();
  }
  return now - *confirmed_at_ >= StaleAfter();
}

bool PublishedFeed::IsFed(TimePoint now) const {
  return fed_at_ && now - *fed_at_ < StaleAfter();
}

void PublishedFeed::Confirm(TimePoint at) {
  if (!confirmed_at_ || *confirmed_at_ < at) {
    confirmed_at_ = at;
  }
}

FeedStep PublishedFeed::Next(TimePoint now) {
  if (!started_at_) {
    started_at_ = now;
    next_call_ = now;
  }
  view_.Advance(now);
  if (options_.early_read && !std::exchange(has_read_early_, true) &&
      !confirmed_at_) {
    ++counters_.reads;
    return {FeedStep::Kind::kReadAnyCopy, options_.start_patience};
  }
  const bool reads =
      rank_ == 0 || (!IsFed(now) && (reads_store_ || IsStale(now)));
  if (reads != reads_store_) {
    reads_store_ = reads;
    is_synced_ = false;
    backoff_ = Duration::zero();
    next_call_ = now;
    spdlog::info("event=store-reader reads={} rank={} revision={}", reads,
                 rank_, view_.revision());
  }
  Duration wait = kLongestWait;
  if (const auto next = view_.NextChange()) {
    wait = std::min<Duration>(wait, *next - now);
  }
  if (!reads_store_) {
    const TimePoint due = confirmed_at_ ? *confirmed_at_ + StaleAfter()
                                        : *started_at_ + StartPatience();
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

// Confirms nothing: the copy may be old.
void PublishedFeed::OnReadAnyCopy(const PublishedItems& all, TimePoint now) {
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
  Confirm(now);
}

void PublishedFeed::OnWatched(const PublishedItems& changes, TimePoint now) {
  view_.TakeChanges(changes, IsAfterOutage(now), now);
  Confirm(now);
  if (!changes.items.empty()) {
    next_call_ = now + options_.gather;
  }
}

void PublishedFeed::OnFailure(const Error& error, TimePoint now) {
  is_synced_ = false;
  ++counters_.failures;
  // Old changes were dropped; that is no loss of contact.
  if (error.kind == ErrorKind::kStale) {
    spdlog::info("event=store-history-lost revision={}", view_.revision());
    return;
  }
  next_call_ = now + NextBackoff();
  if (!std::exchange(lost_contact_, true)) {
    spdlog::warn("event=store-lost revision={} {}", view_.revision(),
                 ToString(error));
  }
}

Duration PublishedFeed::NextBackoff() {
  const Duration longest = rank_ == FeedHello::kNoSeed
                               ? options_.longest_follower_backoff
                               : options_.longest_backoff;
  backoff_ = std::clamp(2 * backoff_, options_.shortest_backoff, longest);
  // From half of it to one and a half, so that hosts that lost the store
  // together do not come back together.
  constexpr std::uint32_t kScale = 1000;
  return backoff_ / 2 + backoff_ * UniformBelow(random_, kScale) / kScale;
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
    if (Follows(peer) && peer.hello->rank != FeedHello::kNoSeed) {
      hosts += 1 + peer.hello->followers;
    }
  }
  return hosts;
}

void PublishedFeed::OnLinkUp(const HostId& host,
                             TimePoint /*now*/,
                             Outbox& out) {
  peers_[host] = Peer();
  out.Send(host, Hello());
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
      SendUpdate(host, peer, now, out);
    }
  } else if (const auto* update = std::get_if<FeedUpdate>(&message)) {
    Take(host, *update, now, out);
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
    view_.TakeAll(update.changes, update.after_outage, now);
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
  told_hosts_ = update.hosts;
  const TimePoint confirmed = now - update.age;
  Confirm(confirmed);
  if (!fed_at_ || *fed_at_ < confirmed) {
    fed_at_ = confirmed;
  }
  feeder_after_outage_ = update.after_outage;
}

void PublishedFeed::SendUpdate(const HostId& host,
                               Peer& peer,
                               TimePoint now,
                               Outbox& out) {
  FeedUpdate update;
  update.whole = !view_.KnowsRemovalsAfter(peer.sent);
  update.after = update.whole ? 0 : peer.sent;
  update.changes = view_.ChangesAfter(update.after);
  update.after_outage = IsAfterOutage(now);
  update.hosts = KnownHosts();
  update.age = std::max<Duration>(now - *confirmed_at_, Duration::zero());
  peer.sent = view_.revision();
  peer.sent_confirmed = *confirmed_at_;
  ++counters_.updates_sent;
  out.Send(host, std::move(update));
}

void PublishedFeed::Feed(TimePoint now, Outbox& out) {
  KeepLinksAlive(now, out);
  if (!confirmed_at_) {
    return;
  }
  for (auto& [host, peer] : peers_) {
    const bool is_news =
        peer.sent < view_.revision() || peer.sent_confirmed < *confirmed_at_;
    if (Follows(peer) && is_news) {
      SendUpdate(host, peer, now, out);
    }
  }
}

TimePoint PublishedFeed::UnfedSince(TimePoint now) const {
  return fed_at_ ? *fed_at_ + options_.stale / 2 : started_at_.value_or(now);
}

void PublishedFeed::KeepLinksAlive(TimePoint now, Outbox& out) {
  if (now < next_hello_) {
    return;
  }
  next_hello_ = now + options_.hello;
  for (const auto& [host, peer] : peers_) {
    if (IsFeeder(peer)) {
      out.Send(host, Hello());
    }
  }
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
  const Duration unfed =
      std::max<Duration>(now - UnfedSince(now), Duration::zero());
  const auto most =
      static_cast<std::size_t>(1 + unfed / options_.seed_patience);
  seeds.resize(std::min(seeds.size(), most));
  return seeds;
}

}  // namespace damasktack
