#ifndef FLEET_DRAINED_ZONES_H_
#define FLEET_DRAINED_ZONES_H_

#include <map>
#include <set>
#include <vector>

#include "fleet/published_source.h"

namespace damasktack {

// The zones that the operator has drained, as one host believes. Pure. What is
// known of a zone only goes up in revisions, and a drain that was taken back is
// remembered as such, so that neither an old read nor a peer that knows less
// brings it back.
class DrainedZones {
 public:
  // Names that are remembered; no region has as many zones, and keys may be
  // written by mistake.
  static constexpr std::size_t kMaxZones = 1024;

  // Each returns whether the zones in force have changed.
  bool Take(const ZoneDrain& drain, Revision revision);
  // A whole read names `present`: other drains up to `current` have ended.
  bool Retain(const std::set<ZoneId>& present, Revision current);

  std::vector<ZoneId> InForce() const;
  // What has changed after a revision.
  void AddChangesAfter(Revision after, PublishedItems& out) const;
  // The drains that began at a revision or before it and are in force.
  void AddInForceUpTo(Revision revision, PublishedItems& out) const;

 private:
  struct Word {
    bool in_force = false;
    Revision revision = 0;
  };

  std::map<ZoneId, Word> words_;
};

}  // namespace damasktack

#endif  // FLEET_DRAINED_ZONES_H_
