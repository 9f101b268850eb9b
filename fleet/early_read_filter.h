#ifndef FLEET_EARLY_READ_FILTER_H_
#define FLEET_EARLY_READ_FILTER_H_

#include "fleet/published_source.h"

namespace damasktack {

// Checks on the result of the early read of a starting host.

// Whether the item was published by the operator: routes or a zone drain.
bool IsOperatorItem(const PublishedItem& item);
// Whether the items contain routes and enough live endpoints for each service
// of these routes.
bool HasEndpointsForEachService(const PublishedItems& items);

}  // namespace damasktack

#endif  // FLEET_EARLY_READ_FILTER_H_
