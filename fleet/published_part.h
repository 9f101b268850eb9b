#ifndef FLEET_PUBLISHED_PART_H_
#define FLEET_PUBLISHED_PART_H_

#include <vector>

#include "core/ids.h"
#include "fleet/published_source.h"

namespace damasktack {

// A range of endpoints with IDs after `begin` and up to and including `end`. An
// empty `begin` means from the first endpoint, an empty `end` up to the last
// one.
struct EndpointRange {
  EndpointId begin;
  EndpointId end;

  bool IsFirst() const { return begin.text().empty(); }
  bool IsLast() const { return end.text().empty(); }
  bool Contains(const EndpointId& id) const {
    return (IsFirst() || begin < id) && (IsLast() || id <= end);
  }

  bool operator==(const EndpointRange&) const = default;
};

// The changes of one range of endpoints for a peer that has everything up to a
// revision. Routes and zone drains are in the first range.
struct PublishedPart {
  EndpointRange range;
  PublishedItems changes;
  // Not all removals are known: endpoints of the range that are neither in the
  // changes nor in `present` are no longer published.
  bool whole = false;
  // IDs of unchanged endpoints; only used if `whole` is set. An ID takes a
  // fifth of the size of an entry, and the receiver has the entry.
  std::vector<EndpointId> present;

  bool operator==(const PublishedPart&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_PART_H_
