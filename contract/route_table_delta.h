#ifndef CONTRACT_ROUTE_TABLE_DELTA_H_
#define CONTRACT_ROUTE_TABLE_DELTA_H_

#include <cstdint>
#include <string>
#include <vector>

#include "contract/route.h"

namespace damasktack {

// Identifies a route within a route table.
struct RouteKey {
  std::string host;
  std::string prefix;

  auto operator<=>(const RouteKey&) const = default;
};

// Delta from one version of a route table to a later one. A table of 1,600
// routes takes 300 KB and changes by a few routes at a time; sending it whole
// to each host would occupy a 10 Mbit/s link for a quarter of a second.
struct RouteTableDelta {
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  // Routes that were added or that differ.
  std::vector<Route> changed;
  std::vector<RouteKey> removed;
  // All services; they are few and always sent completely.
  std::vector<ServiceTraits> services;
  CallerLimits limits;

  bool operator==(const RouteTableDelta&) const = default;
};

// Returns the delta between two route tables. Routes are identified by host and
// prefix; of two routes with the same key the first one counts, as it does when
// requests are matched.
RouteTableDelta DiffRouteTables(const RouteTable& base,
                                const RouteTable& table);

// Returns `base` with `delta` applied; its routes are sorted by key. The
// caller must have checked that the version of `base` is `delta.base_version`.
RouteTable ApplyChange(const RouteTable& base, const RouteTableDelta& delta);

}  // namespace damasktack

#endif  // CONTRACT_ROUTE_TABLE_DELTA_H_
