#include "contract/route_table_delta.h"

#include <map>
#include <utility>

namespace damasktack {

namespace {

RouteKey KeyOf(const Route& route) {
  return {route.host, route.prefix};
}

std::map<RouteKey, const Route*> ByKey(const RouteTable& table) {
  std::map<RouteKey, const Route*> routes;
  for (const Route& it : table.routes) {
    routes.emplace(KeyOf(it), &it);
  }
  return routes;
}

}  // namespace

RouteTableDelta DiffRouteTables(const RouteTable& base,
                                const RouteTable& table) {
  RouteTableDelta delta;
  delta.base_version = base.version;
  delta.version = table.version;
  delta.services = table.services;
  delta.limits = table.limits;
  const auto before = ByKey(base);
  const auto after = ByKey(table);
  for (const auto& [key, route] : after) {
    const auto it = before.find(key);
    if (it == before.end() || *it->second != *route) {
      delta.changed.push_back(*route);
    }
  }
  for (const auto& [key, route] : before) {
    if (!after.contains(key)) {
      delta.removed.push_back(key);
    }
  }
  return delta;
}

RouteTable ApplyChange(const RouteTable& base, const RouteTableDelta& delta) {
  std::map<RouteKey, const Route*> routes = ByKey(base);
  for (const Route& it : delta.changed) {
    routes[KeyOf(it)] = &it;
  }
  for (const RouteKey& it : delta.removed) {
    routes.erase(it);
  }
  RouteTable table;
  table.version = delta.version;
  table.services = delta.services;
  table.limits = delta.limits;
  table.routes.reserve(routes.size());
  for (const auto& [key, route] : routes) {
    table.routes.push_back(*route);
  }
  return table;
}

}  // namespace damasktack
