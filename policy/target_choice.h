#ifndef POLICY_TARGET_CHOICE_H_
#define POLICY_TARGET_CHOICE_H_

#include "contract/route.h"
#include "core/random.h"

namespace damasktack {

// The service that one request of a route goes to, drawn by the weights of the
// route's targets. Drawn anew for each request and never moved to another
// target, so that the parts keep to their weights on every host and also while
// one of them is short of room. The route must have passed CheckRouteTable.
const ServiceId& ChooseTarget(const Route& route, Random& random);

}  // namespace damasktack

#endif  // POLICY_TARGET_CHOICE_H_
