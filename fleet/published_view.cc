#include "fleet/published_view.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "fleet/store_revision.h"

namespace damasktack {

namespace {

// Maximum number of recorded removals; the oldest are discarded first. Far more
// than the removals within the seconds for which an old read can be delayed.
constexpr std::size_t kMaxRecordedRemovals = 4096;
// Maximum number of kept route changes, and the minimum ratio of table size to
// change size for which a change is kept instead of sending the full table. A
// peer is usually one or two changes behind, more when changes follow each
// other within a second.
constexpr std::size_t kMaxTableTransitions = 8;
// Maximum number of endpoints whose rejection is recorded. Beyond it all
// records are cleared and rejections are reported once more. Far more than one
// faulty writer leaves in a store.
constexpr std::size_t kMaxRecordedRefusals = 4096;
constexpr std::size_t kMinTableToDeltaRatio = 4;
// Maximum number of adjusted numbers that are recorded, with the same effect.
constexpr std::size_t kMaxRecordedAdjustments = 256;

// An endpoint whose remaining cold time exceeds the expected one by at least
// this much has become cold again; the jitter of heartbeats and of their
// delivery is smaller.
constexpr Duration kColdRestartThreshold = std::chrono::milliseconds(1000);

// Whether both entries have the same effect on a host. The remaining cold time
// is ignored because it decreases by itself.
bool IsEquivalent(PublishedEndpoint a, const PublishedEndpoint& b) {
  a.cold_for = b.cold_for;
  a.spec.cold_until = b.spec.cold_until;
  return a == b;
}

// Returns the size of the routes in units of endpoint entries; a route is as
// large as two of them.
std::size_t EntryWeightOfRoutes(const PublishedItems& items) {
  constexpr std::size_t kEntriesPerRoute = 2;
  std::size_t routes = 0;
  for (const PublishedItem& it : items.items) {
    if (const auto* table = std::get_if<RouteTable>(&it.value)) {
      routes += table->routes.size();
    } else if (const auto* step = std::get_if<RouteTableDelta>(&it.value)) {
      routes += step->changed.size() + step->removed.size();
    }
  }
  return kEntriesPerRoute * routes;
}

TimePoint ColdUntil(const PublishedEndpoint& endpoint, TimePoint now) {
  return endpoint.cold_for > Duration::zero() ? now + endpoint.cold_for
                                              : TimePoint();
}

}  // namespace

void PublishedView::ApplyFullRead(const PublishedItems& all,
                                  bool after_outage,
                                  TimePoint now) {
  const bool has_returned = revision_ > 0 && all.current.era > revision_.era;
  if (has_returned) {
    RenewRemovals(all.current);
  }
  Present present;
  for (const PublishedItem& it : all.items) {
    present.Add(it.value);
    Apply(it, after_outage, now);
    MarkChangedForPeers(it);
  }
  Retain(present, {}, all.current, after_outage || has_returned, now);
  MarkCompleteAt(all.current);
}

void PublishedView::ApplyPartialRead(const PublishedItems& some,
                                     TimePoint now) {
  for (const PublishedItem& it : some.items) {
    Apply(it, false, now);
  }
}

void PublishedView::ApplyPart(const EndpointRange& range,
                              const PublishedItems& changes,
                              const std::vector<EndpointId>* present,
                              bool after_outage,
                              TimePoint now) {
  for (const PublishedItem& it : changes.items) {
    Apply(it, after_outage, now);
    if (present != nullptr) {
      MarkChangedForPeers(it);
    }
  }
  // With the new revision this host would count as up to date, and its feeder
  // would not send the missing table.
  if (needs_full_table_) {
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
    MarkCompleteAt(changes.current);
  }
}

// The copy may list endpoints that had left before the store returned. A live
// endpoint writes its entry again with its next heartbeat.
void PublishedView::RenewRemovals(StoreRevision current) {
  removal_order_.clear();
  for (auto& [id, revision] : removed_) {
    revision = std::max(revision, current);
    removal_order_.insert({revision, id});
  }
}

void PublishedView::MarkCompleteAt(StoreRevision revision) {
  revision_ = std::max(revision_, revision);
  if (!complete_after_) {
    complete_after_ = revision_;
  }
}

// Marks an entry of a full read as changed. The endpoint may have been removed
// and published again unchanged, which this host has not seen but a peer has.
void PublishedView::MarkChangedForPeers(const PublishedItem& item) {
  const auto* endpoint = std::get_if<PublishedEndpoint>(&item.value);
  const auto it = endpoint == nullptr ? endpoints_.end()
                                      : endpoints_.find(endpoint->spec.id);
  if (it != endpoints_.end()) {
    it->second.forwarded_revision = it->second.revision;
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
                           StoreRevision current,
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
    RecordRemoval(it, current);
    MarkMissing(it, after_outage, now);
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

void PublishedView::Apply(const PublishedItem& item,
                          bool after_outage,
                          TimePoint now) {
  if (const auto* table = std::get_if<RouteTable>(&item.value)) {
    ApplyRoutes(*table, item.revision);
  } else if (const auto* change = std::get_if<RouteTableDelta>(&item.value)) {
    ApplyRoutesChange(*change, item.revision);
  } else if (const auto* endpoint =
                 std::get_if<PublishedEndpoint>(&item.value)) {
    ApplyEndpoint(*endpoint, item.revision, now);
  } else if (const auto* unusable =
                 std::get_if<UnusableEndpoint>(&item.value)) {
    ApplyUnusable(*unusable, item.revision);
  } else if (const auto* removed = std::get_if<RemovedEndpoint>(&item.value)) {
    const auto it = endpoints_.find(removed->id);
    const bool is_known = it != endpoints_.end();
    if (is_known && it->second.revision <= item.revision) {
      it->second.revision = item.revision;
      MarkMissing(removed->id, after_outage, now);
    }
    RecordRemoval(removed->id, item.revision);
  } else if (const auto* drain = std::get_if<ZoneDrain>(&item.value)) {
    const bool is_new = drained_zones_.Take(*drain, item.revision);
    changed_ = changed_ || is_new;
  } else if (const auto* adjusted = std::get_if<AdjustedValue>(&item.value)) {
    ApplyAdjusted(adjusted->error);
  } else {
    const Error& error = std::get<UnreadableValue>(item.value).error;
    if (unreadable_ != error) {
      unreadable_ = error;
      refused_.push_back(error);
    }
  }
}

void PublishedView::ApplyAdjusted(const Error& error) {
  if (std::ranges::find(known_adjustments_, error) !=
      known_adjustments_.end()) {
    return;
  }
  if (known_adjustments_.size() >= kMaxRecordedAdjustments) {
    known_adjustments_.clear();
  }
  known_adjustments_.push_back(error);
  adjusted_.push_back(error);
}

// Removes the endpoint at once. The store still has a value under the ID, so
// its lease has not expired, and the grace period of entries missing after an
// outage does not apply.
void PublishedView::ApplyUnusable(const UnusableEndpoint& unusable,
                                  StoreRevision revision) {
  const auto it = endpoints_.find(unusable.id);
  if (it != endpoints_.end() && it->second.revision <= revision) {
    endpoints_.erase(it);
    changed_ = true;
  }
  RecordRemoval(unusable.id, revision);
  if (refused_endpoints_.size() >= kMaxRecordedRefusals) {
    refused_endpoints_.clear();
  }
  StoreRevision& reported = refused_endpoints_[unusable.id];
  if (reported < revision) {
    reported = revision;
    refused_.push_back(unusable.error);
  }
}

// Discards only the oldest removal. Discarding all at once would send every
// endpoint to each follower as soon as the limit is exceeded.
void PublishedView::RecordRemoval(const EndpointId& removed,
                                  StoreRevision revision) {
  StoreRevision& known = removed_[removed];
  removal_order_.erase({known, removed});
  known = std::max(known, revision);
  removal_order_.insert({known, removed});
  if (removed_.size() <= kMaxRecordedRemovals) {
    return;
  }
  const auto oldest = removal_order_.begin();
  if (complete_after_) {
    complete_after_ = std::max(*complete_after_, oldest->first);
  }
  removed_.erase(oldest->second);
  removal_order_.erase(oldest);
}

void PublishedView::ApplyRoutes(const RouteTable& table,
                                StoreRevision revision) {
  if (routes_ && table.version <= routes_->version) {
    return;
  }
  const std::optional<Error> error =
      CaptureError([&] { return CheckRouteTable(table); });
  if (error) {
    refused_.push_back(*error);
    return;
  }
  RecordTableTransition(table, revision);
  routes_ = std::make_shared<RouteTable>(table);
  routes_revision_ = revision;
  changed_ = true;
}

void PublishedView::ApplyRoutesChange(const RouteTableDelta& change,
                                      StoreRevision revision) {
  if (routes_ && change.version <= routes_->version) {
    return;
  }
  // A feeder that read the store at other times may have merged several
  // versions into one change. Applied to a different table, the change would
  // keep routes that were removed in between.
  if (!routes_ || change.base_version != routes_->version) {
    needs_full_table_ = true;
    return;
  }
  ApplyRoutes(ApplyChange(*routes_, change), revision);
}

void PublishedView::RecordTableTransition(const RouteTable& table,
                                          StoreRevision revision) {
  if (!routes_) {
    return;
  }
  RouteTableDelta change = DiffRouteTables(*routes_, table);
  const std::size_t size = change.changed.size() + change.removed.size();
  if (size * kMinTableToDeltaRatio > table.routes.size()) {
    // Peers with an earlier table need the full one.
    table_transitions_.clear();
    return;
  }
  table_transitions_.push_back({routes_revision_, revision, std::move(change)});
  if (table_transitions_.size() > kMaxTableTransitions) {
    table_transitions_.pop_front();
  }
}

// A peer that has everything up to `after` holds the table that was current
// then, which is the base of the first change after `after` if that change is
// still kept.
void PublishedView::AddRoutesAfter(StoreRevision after,
                                   PublishedItems& out) const {
  if (!routes_ || routes_revision_ <= after) {
    return;
  }
  const auto first = std::ranges::find_if(
      table_transitions_,
      [&](const RouteTableTransition& it) { return it.revision > after; });
  if (first == table_transitions_.end() || first->base > after) {
    out.items.push_back({routes_revision_, *routes_});
    return;
  }
  for (auto it = first; it != table_transitions_.end(); ++it) {
    out.items.push_back({it->revision, it->change});
  }
}

void PublishedView::ApplyEndpoint(const PublishedEndpoint& endpoint,
                                  StoreRevision revision,
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
    HoldEarlierStart(entry, endpoint, now);
    return;
  }
  SetEndpoint(entry, endpoint, now);
}

void PublishedView::SetEndpoint(Entry& entry,
                                const PublishedEndpoint& endpoint,
                                TimePoint now) {
  entry.earlier_start.reset();
  // A process that is leaving never returns to service, so a newer entry of the
  // same process that says otherwise is a late write. Another process under the
  // same ID may serve.
  const EndpointSpec& known = entry.endpoint.spec;
  PublishedEndpoint updated = endpoint;
  if (known.state == ListedState::kLeaving &&
      known.started_at == updated.spec.started_at) {
    updated.spec.state = ListedState::kLeaving;
  }
  updated.spec.cold_until = ColdUntil(updated, now);
  const bool is_cold_again =
      updated.spec.cold_until - known.cold_until >= kColdRestartThreshold;
  if (!entry.missing_since && !is_cold_again &&
      IsEquivalent(entry.endpoint, updated)) {
    return;
  }
  entry.missing_since.reset();
  entry.endpoint = std::move(updated);
  entry.forwarded_revision = entry.revision;
  changed_ = true;
}

// The entry shows that a process writes under the ID, so it is no longer
// missing.
void PublishedView::HoldEarlierStart(Entry& entry,
                                     const PublishedEndpoint& endpoint,
                                     TimePoint now) {
  changed_ = changed_ || entry.missing_since.has_value();
  entry.missing_since.reset();
  if (entry.earlier_start && IsEquivalent(*entry.earlier_start, endpoint)) {
    return;
  }
  if (!entry.earlier_start) {
    entry.earlier_start_since = now;
  }
  entry.earlier_start = endpoint;
  entry.forwarded_revision = entry.revision;
}

void PublishedView::MarkMissing(const EndpointId& id,
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
    const bool is_confirmed =
        entry.earlier_start &&
        now - entry.earlier_start_since >= kEarlierStartGrace;
    if (is_confirmed) {
      SetEndpoint(entry, PublishedEndpoint(*entry.earlier_start), now);
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

PublishedItems PublishedView::ChangesAfter(StoreRevision after,
                                           TimePoint now) const {
  PublishedPart all =
      PartAfter(after, {}, std::numeric_limits<std::size_t>::max(), now);
  return std::move(all.changes);
}

PublishedPart PublishedView::PartAfter(StoreRevision after,
                                       const EndpointId& begin,
                                       std::size_t max_entries,
                                       TimePoint now) const {
  PublishedPart part;
  part.range.begin = begin;
  part.whole = !KnowsRemovalsAfter(after);
  part.changes.current = revision_;
  if (part.range.IsFirst()) {
    AddRoutesAndDrains(after, part);
  }
  const std::size_t limit =
      max_entries - std::min(max_entries, EntryWeightOfRoutes(part.changes));
  EndpointId last;
  auto entry = endpoints_.upper_bound(begin);
  auto removal = removed_.upper_bound(begin);
  while (entry != endpoints_.end() || removal != removed_.end()) {
    const bool is_full =
        part.changes.items.size() + part.present.size() >= limit;
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

void PublishedView::AddRoutesAndDrains(StoreRevision after,
                                       PublishedPart& part) const {
  AddRoutesAfter(after, part.changes);
  drained_zones_.AddChangesAfter(after, part.changes);
  if (part.whole) {
    drained_zones_.AddInForceUpTo(after, part.changes);
  }
}

void PublishedView::AddRemovalAfter(
    StoreRevision after,
    const std::pair<const EndpointId, StoreRevision>& removal,
    PublishedPart& part) {
  if (removal.second > after) {
    part.changes.items.push_back(
        {removal.second, RemovedEndpoint{removal.first}});
  }
}

void PublishedView::AddEntryAfter(StoreRevision after,
                                  const Entry& entry,
                                  TimePoint now,
                                  PublishedPart& part) {
  if (entry.missing_since) {
    return;
  }
  if (entry.forwarded_revision <= after) {
    if (part.whole) {
      part.present.push_back(entry.endpoint.spec.id);
    }
    return;
  }
  PublishedEndpoint sent = entry.endpoint;
  sent.cold_for =
      std::max<Duration>(sent.spec.cold_until - now, Duration::zero());
  part.changes.items.push_back({entry.forwarded_revision, std::move(sent)});
  // Each host waits out kEarlierStartGrace by itself.
  if (entry.earlier_start) {
    part.changes.items.push_back(
        {entry.forwarded_revision, *entry.earlier_start});
  }
}

bool PublishedView::TakeNeedsFullTable() {
  return std::exchange(needs_full_table_, false);
}

bool PublishedView::TakeChanged() {
  return std::exchange(changed_, false);
}

std::vector<Error> PublishedView::TakeRefused() {
  return std::exchange(refused_, {});
}

std::vector<Error> PublishedView::TakeAdjusted() {
  return std::exchange(adjusted_, {});
}

}  // namespace damasktack
