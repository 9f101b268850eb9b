#ifndef FLEET_ENDPOINT_MESSAGES_H_
#define FLEET_ENDPOINT_MESSAGES_H_

#include <string>
#include <vector>

#include "core/json_reader.h"
#include "fleet/published_source.h"

namespace damasktack {

// Encodes published endpoints for messages between hosts: as rows of values in
// a fixed order, with the names of services and zones written once. A seed
// sends each change to all its followers, and member names made up most of the
// traffic: 165 bytes per endpoint as an object, 50 bytes as a row.
//
// Other kinds of values in `items` are skipped.
Json EndpointsToJson(const std::vector<PublishedItem>& items);
// Appends the endpoints of the table to `items`.
leaf::result<void> ParseEndpoints(const Json& json,
                                  const std::string& path,
                                  std::vector<PublishedItem>& items);

// Encodes removed and unusable endpoints as pairs of a revision and an ID. The
// receiver does not need to know why an entry is unusable.
Json RemovalsToJson(const std::vector<PublishedItem>& items);
leaf::result<void> ParseRemovals(const Json& json,
                                 const std::string& path,
                                 std::vector<PublishedItem>& items);

}  // namespace damasktack

#endif  // FLEET_ENDPOINT_MESSAGES_H_
