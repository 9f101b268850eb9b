#ifndef FLEET_PUBLISHED_VIEW_H_
#define FLEET_PUBLISHED_VIEW_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "fleet/drained_zones.h"
#include "fleet/published_part.h"
#include "fleet/published_source.h"

namespace damasktack {

// Merges full reads and incremental changes into the published data as seen by
// one host. It is a pure state machine. Revisions (see fleet/store_revision.h)
// and versions only increase, so a delayed read, a response from a stale
// replica or a store that returns from an older copy cannot restore old data.
class PublishedView {
 public:
  // How long an endpoint that is missing after a store outage is kept. Its
  // lease may have expired although it is alive, and it is published again
  // within two seconds of the return of the store. The value covers most of
  // these endpoints without sending requests to terminated ones for long.
  static constexpr Duration kMissingGrace = std::chrono::milliseconds(1500);
  // How long a newer entry with an earlier start time must remain unreplaced
  // before it is used. Such an entry is usually a late write of a terminated
  // process, and the live process overwrites it with its next heartbeat after
  // 1.5 s; but a process with a wrong clock must not be excluded forever. The
  // value is below the two seconds after which a leaving endpoint must not
  // receive requests.
  static constexpr Duration kEarlierStartGrace =
      std::chrono::milliseconds(1700);

  // Applies a full read. Endpoints missing from it are removed; after a store
  // outage, or if the store has returned from an older copy, only once
  // kMissingGrace has passed. After a return, endpoints that had been removed
  // before stay removed until they are written again.
  void ApplyFullRead(const PublishedItems& all,
                     bool after_outage,
                     TimePoint now);
  // Applies a partial read; endpoints missing from it are kept.
  void ApplyPartialRead(const PublishedItems& some, TimePoint now);
  // Applies the changes of one range received from a feeder. If the feeder does
  // not know every removal, `present` lists the unchanged endpoints: missing
  // ones are removed as above, and the first part contains all zone drains in
  // force. Otherwise `present` is null. The last part advances this view to its
  // revision.
  void ApplyPart(const EndpointRange& range,
                 const PublishedItems& changes,
                 const std::vector<EndpointId>* present,
                 bool after_outage,
                 TimePoint now);
  // Applies changes returned by a watch.
  void ApplyChanges(const PublishedItems& changes,
                    bool after_outage,
                    TimePoint now);
  // Applies changes that are due by time: removes endpoints missing for
  // kMissingGrace and accepts earlier starts after kEarlierStartGrace.
  void Advance(TimePoint now);
  // Returns when Advance has work to do next; null if no entry is pending.
  std::optional<TimePoint> NextChange() const;

  // Null until valid routes have been read.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  std::vector<PublishedEndpoint> Endpoints() const;
  const DrainedZones& drained_zones() const { return drained_zones_; }
  StoreRevision revision() const { return revision_; }
  // Returns all changes after a revision; everything for 0.
  PublishedItems ChangesAfter(StoreRevision after, TimePoint now) const;
  // Returns the changes for peers that have everything up to `after`, starting
  // with the endpoints after `begin`. Contains at least one and at most about
  // `max_entries` endpoint entries, counting IDs in `present` and removals.
  PublishedPart PartAfter(StoreRevision after,
                          const EndpointId& begin,
                          std::size_t max_entries,
                          TimePoint now) const;
  // Whether the changes after `after` contain every removal. A view that was
  // created later does not know the earlier removals.
  bool KnowsRemovalsAfter(StoreRevision after) const {
    return complete_after_ && after >= *complete_after_;
  }
  // Whether the view has changed since the last call.
  bool TakeChanged();
  // Whether, since the last call, a route change arrived whose base is not the
  // current table, so that the full table must be requested.
  bool TakeNeedsFullTable();
  // Returns the errors of values rejected since the last call; each value is
  // reported once, however often it is read.
  std::vector<Error> TakeRefused();
  // As TakeRefused, for the numbers that were adjusted.
  std::vector<Error> TakeAdjusted();

 private:
  struct Entry {
    PublishedEndpoint endpoint;
    // Revision of the newest write. Most writes are heartbeats without a
    // relevant change.
    StoreRevision revision = 0;
    // Revision of the newest write that peers must receive. An endpoint that
    // has just started writes a decreasing cold time with each heartbeat;
    // forwarding these writes sent each endpoint to every host twice more and
    // made every host rebuild its endpoint list.
    StoreRevision forwarded_revision = 0;
    std::optional<TimePoint> missing_since;
    // A newer entry with an earlier start time, and since when no other entry
    // has replaced it.
    std::optional<PublishedEndpoint> earlier_start;
    TimePoint earlier_start_since;
  };

  void Apply(const PublishedItem& item, bool after_outage, TimePoint now);
  void MarkChangedForPeers(const PublishedItem& item);
  // The endpoints and drained zones contained in a full read or a complete list
  // of a range.
  struct Present {
    std::set<EndpointId> endpoints;
    std::set<ZoneId> drained;

    void Add(const PublishedValue& value);
  };
  void Retain(const Present& present,
              const EndpointRange& range,
              StoreRevision current,
              bool after_outage,
              TimePoint now);
  void RenewRemovals(StoreRevision current);
  // Records that the view is complete up to a revision.
  void MarkCompleteAt(StoreRevision revision);
  void ApplyRoutes(const RouteTable& table, StoreRevision revision);
  void ApplyRoutesChange(const RouteTableDelta& change, StoreRevision revision);
  void RecordTableTransition(const RouteTable& table, StoreRevision revision);
  void AddRoutesAfter(StoreRevision after, PublishedItems& out) const;
  void AddRoutesAndDrains(StoreRevision after, PublishedPart& part) const;
  static void AddRemovalAfter(
      StoreRevision after,
      const std::pair<const EndpointId, StoreRevision>& removal,
      PublishedPart& part);
  static void AddEntryAfter(StoreRevision after,
                            const Entry& entry,
                            TimePoint now,
                            PublishedPart& part);
  void ApplyEndpoint(const PublishedEndpoint& endpoint,
                     StoreRevision revision,
                     TimePoint now);
  void ApplyAdjusted(const Error& error);
  void ApplyUnusable(const UnusableEndpoint& unusable, StoreRevision revision);
  void SetEndpoint(Entry& entry,
                   const PublishedEndpoint& endpoint,
                   TimePoint now);
  void HoldEarlierStart(Entry& entry,
                        const PublishedEndpoint& endpoint,
                        TimePoint now);
  void RecordRemoval(const EndpointId& removed, StoreRevision revision);
  void MarkMissing(const EndpointId& id, bool after_outage, TimePoint now);

  std::shared_ptr<const RouteTable> routes_;
  StoreRevision routes_revision_ = 0;
  struct RouteTableTransition {
    // Revisions of the table before and after the change.
    StoreRevision base = 0;
    StoreRevision revision = 0;
    RouteTableDelta change;
  };

  // Consecutive changes that lead to the current table, for peers that hold an
  // earlier one.
  std::deque<RouteTableTransition> table_transitions_;
  bool needs_full_table_ = false;
  std::map<EndpointId, Entry> endpoints_;
  // Removed endpoints with the revision of their removal, so that an older read
  // does not restore them; and ordered by that revision, to discard the oldest
  // first.
  std::map<EndpointId, StoreRevision> removed_;
  std::set<std::pair<StoreRevision, EndpointId>> removal_order_;
  // `removed_` contains all removals after this revision.
  std::optional<StoreRevision> complete_after_;
  DrainedZones drained_zones_;
  std::vector<Error> refused_;
  // The last rejected revision of each endpoint, so that it is reported once.
  std::map<EndpointId, StoreRevision> refused_endpoints_;
  std::optional<Error> unreadable_;
  std::vector<Error> adjusted_;
  // The adjustments that have been reported.
  std::vector<Error> known_adjustments_;
  StoreRevision revision_ = 0;
  bool changed_ = false;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_VIEW_H_
