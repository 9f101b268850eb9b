#ifndef FLEET_SEED_ORDER_H_
#define FLEET_SEED_ORDER_H_

#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"

namespace damasktack {

// The seeds in the order in which one host turns to them: those first whose
// address begins like the host's own, since networks number zones so and bytes
// between zones are billed; among these by a hash, which spreads the hosts over
// the seeds.
std::vector<SocketAddress> InOrderFor(const HostId& host,
                                      const SocketAddress& own,
                                      std::vector<SocketAddress> seeds);

}  // namespace damasktack

#endif  // FLEET_SEED_ORDER_H_
