#ifndef FLEET_SEED_ORDER_H_
#define FLEET_SEED_ORDER_H_

#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"

namespace damasktack {

// Returns the seeds in the order in which a host tries them: first those whose
// address shares the longest prefix with its own, because networks number zones
// this way and traffic between zones is billed; then by a hash, which
// distributes the hosts over the seeds.
std::vector<SocketAddress> OrderSeedsFor(const HostId& host,
                                         const SocketAddress& own,
                                         std::vector<SocketAddress> seeds);

}  // namespace damasktack

#endif  // FLEET_SEED_ORDER_H_
