#ifndef POLICY_TARGET_CHOICE_H_
#define POLICY_TARGET_CHOICE_H_

#include "contract/route.h"
#include "core/random.h"

namespace damasktack {

// Returns the service for one request of a route, drawn at random by the
// weights of the route's targets. Each request is drawn independently and never
// moved to another target, so that the weights hold on every host, also while
// one of the targets is short of capacity. The route must have passed
// CheckRouteTable.
const ServiceId& ChooseTarget(const Route& route, Random& random);

}  // namespace damasktack

#endif  // POLICY_TARGET_CHOICE_H_
