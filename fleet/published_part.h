#ifndef FLEET_PUBLISHED_PART_H_
#define FLEET_PUBLISHED_PART_H_

#include <vector>

#include "core/ids.h"
#include "fleet/published_source.h"

namespace damasktack {

// Endpoints with ids after `begin` and up to `end`. An empty `begin` stands
// for the first endpoint, an empty `end` for the last.
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

// What a host tells one that knows everything up to a revision, for a range of
// endpoints. Routes and drains of zones come with the first range.
struct PublishedPart {
  EndpointRange range;
  PublishedItems changes;
  // Removals cannot all be named: endpoints of the range that are neither in
  // the changes nor in `present` are published no more.
  bool whole = false;
  // Endpoints that have not changed; only where it is whole. Ids take a fifth
  // of the entries, which the receiver has.
  std::vector<EndpointId> present;

  bool operator==(const PublishedPart&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_PART_H_
