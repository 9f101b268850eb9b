#ifndef FLEET_DRAINED_ZONES_H_
#define FLEET_DRAINED_ZONES_H_

#include <map>
#include <set>
#include <vector>

#include "fleet/published_source.h"

namespace damasktack {

// Stores which zones the operator has drained, as known to one host. The state
// of a zone changes only to higher revisions, and the end of a drain is stored
// too, so that neither an outdated read nor an outdated peer can bring the
// drain back. Does no I/O.
class DrainedZones {
 public:
  // Maximum number of zones. More than any region has; bounds the memory if
  // other keys are written by mistake.
  static constexpr std::size_t kMaxZones = 1024;

  // Applies the state of one zone at a revision. Returns whether the set of
  // drained zones has changed.
  bool Take(const ZoneDrain& drain, StoreRevision revision);
  // Applies a complete read at revision `current`, which contains the drains of
  // `present`. Other drains up to `current` have ended. Returns whether the set
  // of drained zones has changed.
  bool Retain(const std::set<ZoneId>& present, StoreRevision current);

  // Returns the drained zones.
  std::vector<ZoneId> InForce() const;
  // Adds the changes after a revision to `out`.
  void AddChangesAfter(StoreRevision after, PublishedItems& out) const;
  // Adds the drains in force that began at or before a revision to `out`.
  void AddInForceUpTo(StoreRevision revision, PublishedItems& out) const;

 private:
  struct DrainState {
    bool in_force = false;
    StoreRevision revision = 0;
  };

  std::map<ZoneId, DrainState> states_;
};

}  // namespace damasktack

#endif  // FLEET_DRAINED_ZONES_H_
