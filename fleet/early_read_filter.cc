#include "fleet/early_read_filter.h"

#include <algorithm>

namespace damasktack {

namespace {

// With this many live endpoints the requests of a service can be placed even if
// some of them are slow or full.
constexpr std::ptrdiff_t kMinEndpointsPerService = 4;

std::ptrdiff_t CountLive(const PublishedItems& items,
                         const ServiceId& service) {
  return std::ranges::count_if(items.items, [&](const PublishedItem& it) {
    const auto* endpoint = std::get_if<PublishedEndpoint>(&it.value);
    return endpoint != nullptr && endpoint->service == service &&
           endpoint->spec.state == ListedState::kLive;
  });
}

}  // namespace

namespace {

bool IsRouteTable(const PublishedItem& item) {
  return std::holds_alternative<RouteTable>(item.value);
}

}  // namespace

bool IsOperatorItem(const PublishedItem& item) {
  return IsRouteTable(item) || std::holds_alternative<ZoneDrain>(item.value);
}

bool HasEndpointsForEachService(const PublishedItems& items) {
  const auto table = std::ranges::find_if(items.items, IsRouteTable);
  if (table == items.items.end()) {
    return false;
  }
  return std::ranges::all_of(std::get<RouteTable>(table->value).services,
                             [&](const ServiceTraits& it) {
                               return CountLive(items, it.id) >=
                                      kMinEndpointsPerService;
                             });
}

}  // namespace damasktack
