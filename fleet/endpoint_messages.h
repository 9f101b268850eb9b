#ifndef FLEET_ENDPOINT_MESSAGES_H_
#define FLEET_ENDPOINT_MESSAGES_H_

#include <string>
#include <vector>

#include "core/json_reader.h"
#include "fleet/published_source.h"

namespace damasktack {

// Published endpoints as they are written in messages between hosts: rows of
// values in a fixed order, with the names of services and zones once. A seed
// sends each change to every host that follows it, so that the names of the
// members were most of what a fleet's hosts sent: 165 bytes for an endpoint as
// an object, 50 as a row.
//
// `items` may hold other values too; these are passed over.
Json EndpointsToJson(const std::vector<PublishedItem>& items);
// Appends what the table holds.
leaf::result<void> ParseEndpoints(const Json& json,
                                  const std::string& path,
                                  std::vector<PublishedItem>& items);

// Removed endpoints, and those that cannot be used: pairs of a revision and an
// id. Who cannot use an entry need not know why another could not.
Json RemovalsToJson(const std::vector<PublishedItem>& items);
leaf::result<void> ParseRemovals(const Json& json,
                                 const std::string& path,
                                 std::vector<PublishedItem>& items);

}  // namespace damasktack

#endif  // FLEET_ENDPOINT_MESSAGES_H_
