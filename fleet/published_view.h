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

// What a host believes to be published: merges whole reads and single changes.
// Pure. Revisions and versions only go up, so an old read that arrives late, or
// a store that answers from an old copy, brings nothing back.
class PublishedView {
 public:
  // An endpoint that is missing after the store was away is kept this long:
  // its lease may have run out although it lives, and it is published again
  // within two seconds of the store's return. Long enough for most of these,
  // short enough that one which is gone gets no calls for long.
  static constexpr Duration kMissingGrace = std::chrono::milliseconds(1500);
  // A newer entry of an earlier start under the same id counts only if nothing
  // has replaced it for this long. It is a late write of a process that has
  // ended, as a rule, and the one that lives writes again within its heartbeat
  // of 1.5 s; but a process whose clock is wrong must not be left out for good.
  // Below the two seconds in which an endpoint that leaves must get no calls.
  static constexpr Duration kEarlierStartGrace =
      std::chrono::milliseconds(1700);

  // A whole read. Endpoints that it lacks are removed; where the store was out
  // of reach before it, only after kMissingGrace.
  void ApplyFullRead(const PublishedItems& all,
                     bool after_outage,
                     TimePoint now);
  // Some of what is published; what is not in it may be so as well.
  void TakeSome(const PublishedItems& some, TimePoint now);
  // What a feeder tells of a range. Where it cannot name each removal,
  // `present` has the endpoints that have not changed, else it is null: those
  // missing are removed as above, and all drains of zones that are in force are
  // in the first part. The last part brings this view up to its revision.
  void ApplyPart(const EndpointRange& range,
                 const PublishedItems& changes,
                 const std::vector<EndpointId>* present,
                 bool after_outage,
                 TimePoint now);
  // Changes from a watch.
  void ApplyChanges(const PublishedItems& changes,
                    bool after_outage,
                    TimePoint now);
  // Removes what has been missing for too long.
  void Advance(TimePoint now);
  // When Advance has something to do next; null where nothing is missing.
  std::optional<TimePoint> NextChange() const;

  // Null before the first that could be read.
  const std::shared_ptr<const RouteTable>& routes() const { return routes_; }
  std::vector<PublishedEndpoint> Endpoints() const;
  const DrainedZones& drained_zones() const { return drained_zones_; }
  Revision revision() const { return revision_; }
  // What has changed after a revision; all of it after 0.
  PublishedItems ChangesAfter(Revision after, TimePoint now) const;
  // What peers that know everything up to `after` have to hear, from the
  // endpoints after `begin` on: about `most_entries` entries of endpoints,
  // `present` ones and removals included, and one at least.
  PublishedPart PartAfter(Revision after,
                          const EndpointId& begin,
                          std::size_t most_entries,
                          TimePoint now) const;
  // Whether these changes name every removal. A view that began later does not
  // know what was removed before.
  bool KnowsRemovalsAfter(Revision after) const {
    return complete_after_ && after >= *complete_after_;
  }
  // Whether something differs from the last call.
  bool TakeChanged();
  // Whether a change of a book came since the last call that is not the next
  // one to the book held here: the whole book has to be asked for.
  bool TakeMissesBook();
  // Values refused since the last call, each once however often it is read.
  std::vector<Error> TakeRefused();

 private:
  struct Entry {
    PublishedEndpoint endpoint;
    // Of the newest write. Most writes are heartbeats that change nothing a
    // host goes by.
    Revision revision = 0;
    // Of the newest write that peers have to hear of. An endpoint that started
    // counts down with each heartbeat for how long it stays cold; sent on, that
    // alone had each host hear of it twice more, and join its list anew.
    Revision told_revision = 0;
    std::optional<TimePoint> missing_since;
    // A newer entry of an earlier start, and since when nothing replaced it.
    std::optional<PublishedEndpoint> earlier_start;
    TimePoint earlier_start_since;
  };

  void Take(const PublishedItem& item, bool after_outage, TimePoint now);
  void TellAnew(const PublishedItem& item);
  // What a whole read or its like names.
  struct Present {
    std::set<EndpointId> endpoints;
    std::set<ZoneId> drained;

    void Add(const PublishedValue& value);
  };
  void Retain(const Present& present,
              const EndpointRange& range,
              Revision current,
              bool after_outage,
              TimePoint now);
  // Everything up to a revision has come.
  void ReachWhole(Revision revision);
  void TakeRoutes(const RouteTable& book, Revision revision);
  void TakeRoutesChange(const RouteTableDelta& change, Revision revision);
  void RememberStep(const RouteTable& book, Revision revision);
  void AddRoutesAfter(Revision after, PublishedItems& out) const;
  void AddAllButEndpoints(Revision after, PublishedPart& part) const;
  static void AddRemovalAfter(
      Revision after,
      const std::pair<const EndpointId, Revision>& removal,
      PublishedPart& part);
  static void AddEntryAfter(Revision after,
                            const Entry& entry,
                            TimePoint now,
                            PublishedPart& part);
  void TakeEndpoint(const PublishedEndpoint& endpoint,
                    Revision revision,
                    TimePoint now);
  void TakeUnusable(const UnusableEndpoint& unusable, Revision revision);
  void PutInForce(Entry& entry,
                  const PublishedEndpoint& endpoint,
                  TimePoint now);
  void SetAsideEarlierStart(Entry& entry,
                            const PublishedEndpoint& endpoint,
                            TimePoint now);
  void Remember(const EndpointId& removed, Revision revision);
  void Miss(const EndpointId& id, bool after_outage, TimePoint now);

  std::shared_ptr<const RouteTable> routes_;
  Revision routes_revision_ = 0;
  struct BookStep {
    // Of the book that the step begins at, and of the one that it leads to.
    Revision base = 0;
    Revision revision = 0;
    RouteTableDelta change;
  };

  // The steps that led to the book, one after the other, for peers that hold
  // an earlier one.
  std::deque<BookStep> book_steps_;
  bool misses_book_ = false;
  std::map<EndpointId, Entry> endpoints_;
  // Removed endpoints by the revision of their removal, so that an older read
  // does not bring them back; and in the order of their removal, for the oldest
  // to be forgotten first.
  std::map<EndpointId, Revision> removed_;
  std::set<std::pair<Revision, EndpointId>> removal_order_;
  // From which revision on `removed_` names all removals.
  std::optional<Revision> complete_after_;
  DrainedZones drained_zones_;
  std::vector<Error> refused_;
  // The last revision that was refused, so that it is told once.
  std::map<EndpointId, Revision> refused_endpoints_;
  std::optional<Error> unreadable_;
  Revision revision_ = 0;
  bool changed_ = false;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_VIEW_H_
