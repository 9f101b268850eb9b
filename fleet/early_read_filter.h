#ifndef FLEET_EARLY_READ_FILTER_H_
#define FLEET_EARLY_READ_FILTER_H_

#include "fleet/published_source.h"

namespace damasktack {

// Of what a host that starts has read first.

// Whether the operator published it, and not an endpoint.
bool IsOfOperator(const PublishedItem& item);
// Whether the items have a book and enough endpoints for each of its services.
bool ServesEachRoute(const PublishedItems& items);

}  // namespace damasktack

#endif  // FLEET_EARLY_READ_FILTER_H_
