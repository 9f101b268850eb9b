#ifndef FLEET_ROUTE_MESSAGES_H_
#define FLEET_ROUTE_MESSAGES_H_

#include <string>

#include "contract/route_table_delta.h"
#include "core/json_reader.h"

namespace damasktack {

// How books of routes, and steps between them, are written in messages between
// hosts: routes as a table, since a seed sends a large book to many hosts at
// once.
Json ToJson(const RouteTable& book);
leaf::result<RouteTable> ParseRouteTable(const Json& json,
                                         const std::string& path);

Json ToJson(const RouteTableDelta& change);
leaf::result<RouteTableDelta> ParseRouteTableDelta(const Json& json,
                                                   const std::string& path);

}  // namespace damasktack

#endif  // FLEET_ROUTE_MESSAGES_H_
