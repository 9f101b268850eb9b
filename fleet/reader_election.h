#ifndef FLEET_READER_ELECTION_H_
#define FLEET_READER_ELECTION_H_

#include <cstddef>
#include <vector>

#include "fleet/host_view.h"

namespace damasktack {

inline constexpr std::size_t kReadersPerZone = 2;

// Returns the hosts of `zone` that watch the platform according to this view,
// best first: live, reachable (or this host), with the highest rendezvous hash
// of host and zone. Different views only elect a few additional readers, so
// they need not be equal.
std::vector<HostId> ElectReaders(const HostView& view,
                                 const ZoneId& zone,
                                 std::size_t count = kReadersPerZone);

// Whether this host watches the platform. A host without a list, or not in the
// list, watches as well, because no other host is known to do so on its behalf.
bool IsReader(const HostView& view);

}  // namespace damasktack

#endif  // FLEET_READER_ELECTION_H_
