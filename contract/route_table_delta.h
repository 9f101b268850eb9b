#ifndef CONTRACT_ROUTE_TABLE_DELTA_H_
#define CONTRACT_ROUTE_TABLE_DELTA_H_

#include <cstdint>
#include <string>
#include <vector>

#include "contract/route.h"

namespace damasktack {

// What names a route within a book.
struct RouteKey {
  std::string host;
  std::string prefix;

  auto operator<=>(const RouteKey&) const = default;
};

// The step from one version of a book to a later one. A book of 1,600 routes
// is 300 KB and changes by a few routes at a time: sent whole to each host it
// keeps a link of 10 Mbit/s busy for a quarter of a second.
struct RouteTableDelta {
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  // Routes that are new or differ.
  std::vector<Route> changed;
  std::vector<RouteKey> removed;
  // Few; always all of them.
  std::vector<ServiceTraits> services;
  CallerLimits limits;

  bool operator==(const RouteTableDelta&) const = default;
};

// The step between two books. Routes are compared by host and prefix; of two
// under one name the first counts, as it does for requests.
RouteTableDelta DiffRouteTables(const RouteTable& base, const RouteTable& book);

// The book after the change, routes in the order of their names. The caller
// has made sure that `base` has the version that the change begins at.
RouteTable ApplyChange(const RouteTable& base, const RouteTableDelta& change);

}  // namespace damasktack

#endif  // CONTRACT_ROUTE_TABLE_DELTA_H_
