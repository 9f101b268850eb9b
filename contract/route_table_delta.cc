#include "contract/route_table_delta.h"

#include <map>
#include <utility>

namespace damasktack {

namespace {

RouteKey KeyOf(const Route& route) {
  return {route.host, route.prefix};
}

std::map<RouteKey, const Route*> ByKey(const RouteTable& book) {
  std::map<RouteKey, const Route*> routes;
  for (const Route& it : book.routes) {
    routes.emplace(KeyOf(it), &it);
  }
  return routes;
}

}  // namespace

RouteTableDelta DiffRouteTables(const RouteTable& base,
                                const RouteTable& book) {
  RouteTableDelta change;
  change.base_version = base.version;
  change.version = book.version;
  change.services = book.services;
  change.limits = book.limits;
  const auto before = ByKey(base);
  const auto after = ByKey(book);
  for (const auto& [key, route] : after) {
    const auto it = before.find(key);
    if (it == before.end() || *it->second != *route) {
      change.changed.push_back(*route);
    }
  }
  for (const auto& [key, route] : before) {
    if (!after.contains(key)) {
      change.removed.push_back(key);
    }
  }
  return change;
}

RouteTable ApplyChange(const RouteTable& base, const RouteTableDelta& change) {
  std::map<RouteKey, const Route*> routes = ByKey(base);
  for (const Route& it : change.changed) {
    routes[KeyOf(it)] = &it;
  }
  for (const RouteKey& it : change.removed) {
    routes.erase(it);
  }
  RouteTable book;
  book.version = change.version;
  book.services = change.services;
  book.limits = change.limits;
  book.routes.reserve(routes.size());
  for (const auto& [key, route] : routes) {
    book.routes.push_back(*route);
  }
  return book;
}

}  // namespace damasktack
