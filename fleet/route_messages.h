#ifndef FLEET_ROUTE_MESSAGES_H_
#define FLEET_ROUTE_MESSAGES_H_

#include <string>

#include "contract/route_book_change.h"
#include "core/json_reader.h"

namespace damasktack {

// Encodes route books, and changes between them, for messages between hosts.
// Routes are written as a table, because a seed sends a large book to many
// hosts at once.
Json ToJson(const RouteBook& book);
leaf::result<RouteBook> ParseRouteBook(const Json& json,
                                       const std::string& path);

Json ToJson(const RouteBookChange& change);
leaf::result<RouteBookChange> ParseRouteBookChange(const Json& json,
                                                   const std::string& path);

}  // namespace damasktack

#endif  // FLEET_ROUTE_MESSAGES_H_
