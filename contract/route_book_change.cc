#include "contract/route_book_change.h"

#include <map>
#include <utility>

namespace damasktack {

namespace {

RouteKey KeyOf(const Route& route) {
  return {route.host, route.prefix};
}

std::map<RouteKey, const Route*> ByKey(const RouteBook& book) {
  std::map<RouteKey, const Route*> routes;
  for (const Route& it : book.routes) {
    routes.emplace(KeyOf(it), &it);
  }
  return routes;
}

}  // namespace

RouteBookChange CompareBooks(const RouteBook& base, const RouteBook& book) {
  RouteBookChange change;
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

RouteBook ApplyChange(const RouteBook& base, const RouteBookChange& change) {
  std::map<RouteKey, const Route*> routes = ByKey(base);
  for (const Route& it : change.changed) {
    routes[KeyOf(it)] = &it;
  }
  for (const RouteKey& it : change.removed) {
    routes.erase(it);
  }
  RouteBook book;
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
