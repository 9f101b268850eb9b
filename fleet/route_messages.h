#ifndef FLEET_ROUTE_MESSAGES_H_
#define FLEET_ROUTE_MESSAGES_H_

#include <string>

#include "contract/route_table_delta.h"
#include "core/json_reader.h"

namespace damasktack {

// Encodes route tables, and changes between them, for messages between hosts.
// Routes are written as a table, because a seed sends a large table to many
// hosts at once.
Json ToJson(const RouteTable& table);
leaf::result<RouteTable> ParseRouteTable(const Json& json,
                                         const std::string& path);

Json ToJson(const RouteTableDelta& change);
leaf::result<RouteTableDelta> ParseRouteTableDelta(const Json& json,
                                                   const std::string& path);

}  // namespace damasktack

#endif  // FLEET_ROUTE_MESSAGES_H_
