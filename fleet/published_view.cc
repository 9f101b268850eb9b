#include "fleet/published_view.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace damasktack {

namespace {

// Removals remembered; the oldest are forgotten beyond. Many times what leaves
// within the seconds for which an old read may be on its way.
constexpr std::size_t kMostRemoved = 4096;
// Steps between books that are kept, and the part of a book up to which a step
// is worth more than the book. A peer is behind by one or two as a rule; more
// come where changes follow each other within a second.
constexpr std::size_t kMostBookSteps = 8;
// Endpoints whose refusal is remembered; all are forgotten beyond, and are told
// once more. Many times what one mistaken writer leaves in a store.
constexpr std::size_t kMostRefused = 4096;
constexpr std::size_t kLargestStepPart = 4;

// An endpoint that is said to stay cold for so much longer than was believed
// has become cold again; heartbeats and their ways differ by less.
constexpr Duration kColdAgain = std::chrono::milliseconds(1000);

// Whether a host would go by both in the same way. How much longer an endpoint
// stays cold runs down by itself.
bool IsAlike(PublishedEndpoint a, const PublishedEndpoint& b) {
  a.cold_for = b.cold_for;
  a.spec.cold_until = b.spec.cold_until;
  return a == b;
}

// A route is as large as two entries of endpoints.
std::size_t WeightOfRoutes(const PublishedItems& items) {
  constexpr std::size_t kEntriesOfRoute = 2;
  std::size_t routes = 0;
  for (const PublishedItem& it : items.items) {
    if (const auto* book = std::get_if<RouteTable>(&it.value)) {
      routes += book->routes.size();
    } else if (const auto* step = std::get_if<RouteTableDelta>(&it.value)) {
      routes += step->changed.size() + step->removed.size();
    }
  }
  return kEntriesOfRoute * routes;
}

TimePoint ColdUntil(const PublishedEndpoint& endpoint, TimePoint now) {
  return endpoint.cold_for > Duration::zero() ? now + endpoint.cold_for
                                              : TimePoint();
}

}  // namespace

void PublishedView::ApplyFullRead(const PublishedItems& all,
                                  bool after_outage,
                                  TimePoint now) {
  Present present;
  for (const PublishedItem& it : all.items) {
    present.Add(it.value);
    Take(it, after_outage, now);
    TellAnew(it);
  }
  Retain(present, {}, all.current, after_outage, now);
  ReachWhole(all.current);
}

void PublishedView::TakeSome(const PublishedItems& some, TimePoint now) {
  for (const PublishedItem& it : some.items) {
    Take(it, false, now);
  }
}

void PublishedView::ApplyPart(const EndpointRange& range,
                              const PublishedItems& changes,
                              const std::vector<EndpointId>* present,
                              bool after_outage,
                              TimePoint now) {
  for (const PublishedItem& it : changes.items) {
    Take(it, after_outage, now);
    if (present != nullptr) {
      TellAnew(it);
    }
  }
  // With the new revision this host would count as up to date, and its feeder
  // would not send the book that it lacks.
  if (misses_book_) {
    return;
  }
  if (present != nullptr) {
    Present listed{{present->begin(), present->end()}, {}};
    for (const PublishedItem& it : changes.items) {
      listed.Add(it.value);
    }
    Retain(listed, range, changes.current, after_outage, now);
  }
  if (!range.IsLast()) {
    return;
  }
  revision_ = std::max(revision_, changes.current);
  if (present != nullptr) {
    ReachWhole(changes.current);
  }
}

void PublishedView::ReachWhole(Revision revision) {
  revision_ = std::max(revision_, revision);
  if (!complete_after_) {
    complete_after_ = revision_;
  }
}

// An endpoint may have been removed and published again as it was, unseen by
// this host and seen by a peer in between.
void PublishedView::TellAnew(const PublishedItem& item) {
  const auto* endpoint = std::get_if<PublishedEndpoint>(&item.value);
  const auto it = endpoint == nullptr ? endpoints_.end()
                                      : endpoints_.find(endpoint->spec.id);
  if (it != endpoints_.end()) {
    it->second.told_revision = it->second.revision;
  }
}

void PublishedView::Present::Add(const PublishedValue& value) {
  if (const auto* endpoint = std::get_if<PublishedEndpoint>(&value)) {
    endpoints.insert(endpoint->spec.id);
  } else if (const auto* drain = std::get_if<ZoneDrain>(&value)) {
    drained.insert(drain->zone);
  }
}

void PublishedView::Retain(const Present& present,
                           const EndpointRange& range,
                           Revision current,
                           bool after_outage,
                           TimePoint now) {
  std::vector<EndpointId> missing;
  for (auto it = endpoints_.upper_bound(range.begin);
       it != endpoints_.end() && range.Contains(it->first); ++it) {
    const auto& [id, entry] = *it;
    if (!present.endpoints.contains(id) && entry.revision <= current) {
      missing.push_back(id);
    }
  }
  for (const EndpointId& it : missing) {
    Remember(it, current);
    Miss(it, after_outage, now);
  }
  if (range.IsFirst()) {
    const bool has_ended = drained_zones_.Retain(present.drained, current);
    changed_ = changed_ || has_ended;
  }
}

void PublishedView::ApplyChanges(const PublishedItems& changes,
                                 bool after_outage,
                                 TimePoint now) {
  ApplyPart({}, changes, nullptr, after_outage, now);
}

void PublishedView::Take(const PublishedItem& item,
                         bool after_outage,
                         TimePoint now) {
  if (const auto* book = std::get_if<RouteTable>(&item.value)) {
    TakeRoutes(*book, item.revision);
  } else if (const auto* change = std::get_if<RouteTableDelta>(&item.value)) {
    TakeRoutesChange(*change, item.revision);
  } else if (const auto* endpoint =
                 std::get_if<PublishedEndpoint>(&item.value)) {
    TakeEndpoint(*endpoint, item.revision, now);
  } else if (const auto* unusable =
                 std::get_if<UnusableEndpoint>(&item.value)) {
    TakeUnusable(*unusable, item.revision);
  } else if (const auto* removed = std::get_if<RemovedEndpoint>(&item.value)) {
    const auto it = endpoints_.find(removed->id);
    const bool is_known = it != endpoints_.end();
    if (is_known && it->second.revision <= item.revision) {
      it->second.revision = item.revision;
      Miss(removed->id, after_outage, now);
    }
    Remember(removed->id, item.revision);
  } else if (const auto* drain = std::get_if<ZoneDrain>(&item.value)) {
    const bool is_news = drained_zones_.Take(*drain, item.revision);
    changed_ = changed_ || is_news;
  } else {
    const Error& error = std::get<UnreadableValue>(item.value).error;
    if (unreadable_ != error) {
      unreadable_ = error;
      refused_.push_back(error);
    }
  }
}

// The store still has a value under the id, so its lease has not run out: there
// is no grace as for an entry that is missing after an outage.
void PublishedView::TakeUnusable(const UnusableEndpoint& unusable,
                                 Revision revision) {
  const auto it = endpoints_.find(unusable.id);
  if (it != endpoints_.end() && it->second.revision <= revision) {
    endpoints_.erase(it);
    changed_ = true;
  }
  Remember(unusable.id, revision);
  if (refused_endpoints_.size() >= kMostRefused) {
    refused_endpoints_.clear();
  }
  Revision& told = refused_endpoints_[unusable.id];
  if (told < revision) {
    told = revision;
    refused_.push_back(unusable.error);
  }
}

// Forgetting all at once would have each follower told of every endpoint as
// soon as more have left than are remembered.
void PublishedView::Remember(const EndpointId& removed, Revision revision) {
  Revision& known = removed_[removed];
  removal_order_.erase({known, removed});
  known = std::max(known, revision);
  removal_order_.insert({known, removed});
  if (removed_.size() <= kMostRemoved) {
    return;
  }
  const auto oldest = removal_order_.begin();
  if (complete_after_) {
    complete_after_ = std::max(*complete_after_, oldest->first);
  }
  removed_.erase(oldest->second);
  removal_order_.erase(oldest);
}

void PublishedView::TakeRoutes(const RouteTable& book, Revision revision) {
  if (routes_ && book.version <= routes_->version) {
    return;
  }
  const std::optional<Error> fault =
      CaptureError([&] { return CheckRouteTable(book); });
  if (fault) {
    refused_.push_back(*fault);
    return;
  }
  RememberStep(book, revision);
  routes_ = std::make_shared<RouteTable>(book);
  routes_revision_ = revision;
  changed_ = true;
}

void PublishedView::TakeRoutesChange(const RouteTableDelta& change,
                                     Revision revision) {
  if (routes_ && change.version <= routes_->version) {
    return;
  }
  // A feeder that read the store at other moments has merged other versions
  // into one step. Applied to another book it would leave routes in force that
  // were removed between.
  if (!routes_ || change.base_version != routes_->version) {
    misses_book_ = true;
    return;
  }
  TakeRoutes(ApplyChange(*routes_, change), revision);
}

void PublishedView::RememberStep(const RouteTable& book, Revision revision) {
  if (!routes_) {
    return;
  }
  RouteTableDelta change = DiffRouteTables(*routes_, book);
  const std::size_t size = change.changed.size() + change.removed.size();
  if (size * kLargestStepPart > book.routes.size()) {
    // Whoever holds a book from before needs the whole one.
    book_steps_.clear();
    return;
  }
  book_steps_.push_back({routes_revision_, revision, std::move(change)});
  if (book_steps_.size() > kMostBookSteps) {
    book_steps_.pop_front();
  }
}

// A peer that has seen everything up to `after` holds the book that was the
// newest then: the one that the first step after it begins at, if that step is
// kept.
void PublishedView::AddRoutesAfter(Revision after, PublishedItems& out) const {
  if (!routes_ || routes_revision_ <= after) {
    return;
  }
  const auto first = std::ranges::find_if(
      book_steps_, [&](const BookStep& it) { return it.revision > after; });
  if (first == book_steps_.end() || first->base > after) {
    out.items.push_back({routes_revision_, *routes_});
    return;
  }
  for (auto it = first; it != book_steps_.end(); ++it) {
    out.items.push_back({it->revision, it->change});
  }
}

void PublishedView::TakeEndpoint(const PublishedEndpoint& endpoint,
                                 Revision revision,
                                 TimePoint now) {
  const auto removed = removed_.find(endpoint.spec.id);
  if (removed != removed_.end() && removed->second >= revision) {
    return;
  }
  Entry& entry = endpoints_[endpoint.spec.id];
  if (entry.revision > revision) {
    return;
  }
  entry.revision = revision;
  if (endpoint.spec.started_at < entry.endpoint.spec.started_at) {
    SetAsideEarlierStart(entry, endpoint, now);
    return;
  }
  PutInForce(entry, endpoint, now);
}

void PublishedView::PutInForce(Entry& entry,
                               const PublishedEndpoint& endpoint,
                               TimePoint now) {
  entry.earlier_start.reset();
  // A process that leaves never comes back: a newer entry that says so is a
  // late write. Another process under its id may serve.
  const EndpointSpec& known = entry.endpoint.spec;
  PublishedEndpoint taken = endpoint;
  if (known.state == ListedState::kLeaving &&
      known.started_at == taken.spec.started_at) {
    taken.spec.state = ListedState::kLeaving;
  }
  taken.spec.cold_until = ColdUntil(taken, now);
  const bool is_cold_again =
      taken.spec.cold_until - known.cold_until >= kColdAgain;
  if (!entry.missing_since && !is_cold_again &&
      IsAlike(entry.endpoint, taken)) {
    return;
  }
  entry.missing_since.reset();
  entry.endpoint = std::move(taken);
  entry.told_revision = entry.revision;
  changed_ = true;
}

// The entry shows that somebody writes under the id, so it is missing no more.
void PublishedView::SetAsideEarlierStart(Entry& entry,
                                         const PublishedEndpoint& endpoint,
                                         TimePoint now) {
  changed_ = changed_ || entry.missing_since.has_value();
  entry.missing_since.reset();
  if (entry.earlier_start && IsAlike(*entry.earlier_start, endpoint)) {
    return;
  }
  if (!entry.earlier_start) {
    entry.earlier_start_since = now;
  }
  entry.earlier_start = endpoint;
  entry.told_revision = entry.revision;
}

void PublishedView::Miss(const EndpointId& id,
                         bool after_outage,
                         TimePoint now) {
  const auto it = endpoints_.find(id);
  if (it == endpoints_.end()) {
    return;
  }
  if (!after_outage) {
    endpoints_.erase(it);
    changed_ = true;
    return;
  }
  if (!it->second.missing_since) {
    it->second.missing_since = now;
  }
}

void PublishedView::Advance(TimePoint now) {
  const auto gone = std::erase_if(endpoints_, [&](const auto& it) {
    return it.second.missing_since &&
           now - *it.second.missing_since >= kMissingGrace;
  });
  changed_ = changed_ || gone > 0;
  for (auto& [id, entry] : endpoints_) {
    const bool stays = entry.earlier_start &&
                       now - entry.earlier_start_since >= kEarlierStartGrace;
    if (stays) {
      PutInForce(entry, PublishedEndpoint(*entry.earlier_start), now);
    }
  }
}

std::optional<TimePoint> PublishedView::NextChange() const {
  std::optional<TimePoint> next;
  const auto add = [&](TimePoint due) {
    next = next ? std::min(*next, due) : due;
  };
  for (const auto& [id, entry] : endpoints_) {
    if (entry.missing_since) {
      add(*entry.missing_since + kMissingGrace);
    }
    if (entry.earlier_start) {
      add(entry.earlier_start_since + kEarlierStartGrace);
    }
  }
  return next;
}

std::vector<PublishedEndpoint> PublishedView::Endpoints() const {
  std::vector<PublishedEndpoint> endpoints;
  endpoints.reserve(endpoints_.size());
  for (const auto& [id, entry] : endpoints_) {
    endpoints.push_back(entry.endpoint);
  }
  return endpoints;
}

PublishedItems PublishedView::ChangesAfter(Revision after,
                                           TimePoint now) const {
  PublishedPart all =
      PartAfter(after, {}, std::numeric_limits<std::size_t>::max(), now);
  return std::move(all.changes);
}

PublishedPart PublishedView::PartAfter(Revision after,
                                       const EndpointId& begin,
                                       std::size_t most_entries,
                                       TimePoint now) const {
  PublishedPart part;
  part.range.begin = begin;
  part.whole = !KnowsRemovalsAfter(after);
  part.changes.current = revision_;
  if (part.range.IsFirst()) {
    AddAllButEndpoints(after, part);
  }
  const std::size_t most =
      most_entries - std::min(most_entries, WeightOfRoutes(part.changes));
  EndpointId last;
  auto entry = endpoints_.upper_bound(begin);
  auto removal = removed_.upper_bound(begin);
  while (entry != endpoints_.end() || removal != removed_.end()) {
    const bool is_full =
        part.changes.items.size() + part.present.size() >= most;
    if (is_full && !last.text().empty()) {
      part.range.end = last;
      break;
    }
    const bool has_removal =
        removal != removed_.end() &&
        (entry == endpoints_.end() || removal->first <= entry->first);
    last = has_removal ? removal->first : entry->first;
    if (has_removal) {
      AddRemovalAfter(after, *removal, part);
      ++removal;
    }
    if (entry != endpoints_.end() && entry->first == last) {
      AddEntryAfter(after, entry->second, now, part);
      ++entry;
    }
  }
  return part;
}

void PublishedView::AddAllButEndpoints(Revision after,
                                       PublishedPart& part) const {
  AddRoutesAfter(after, part.changes);
  drained_zones_.AddChangesAfter(after, part.changes);
  if (part.whole) {
    drained_zones_.AddInForceUpTo(after, part.changes);
  }
}

void PublishedView::AddRemovalAfter(
    Revision after,
    const std::pair<const EndpointId, Revision>& removal,
    PublishedPart& part) {
  if (removal.second > after) {
    part.changes.items.push_back(
        {removal.second, RemovedEndpoint{removal.first}});
  }
}

void PublishedView::AddEntryAfter(Revision after,
                                  const Entry& entry,
                                  TimePoint now,
                                  PublishedPart& part) {
  if (entry.missing_since) {
    return;
  }
  if (entry.told_revision <= after) {
    if (part.whole) {
      part.present.push_back(entry.endpoint.spec.id);
    }
    return;
  }
  PublishedEndpoint told = entry.endpoint;
  told.cold_for =
      std::max<Duration>(told.spec.cold_until - now, Duration::zero());
  part.changes.items.push_back({entry.told_revision, std::move(told)});
  // Each host waits by itself whether it stays.
  if (entry.earlier_start) {
    part.changes.items.push_back({entry.told_revision, *entry.earlier_start});
  }
}

bool PublishedView::TakeMissesBook() {
  return std::exchange(misses_book_, false);
}

bool PublishedView::TakeChanged() {
  return std::exchange(changed_, false);
}

std::vector<Error> PublishedView::TakeRefused() {
  return std::exchange(refused_, {});
}

}  // namespace damasktack
