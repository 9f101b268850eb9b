#include "fleet/early_read_filter.h"

#include <algorithm>

namespace damasktack {

namespace {

// Endpoints of a service with which its calls can be placed: not all of them
// are slow or full.
constexpr std::ptrdiff_t kFewestEndpoints = 4;

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

bool IsBook(const PublishedItem& item) {
  return std::holds_alternative<RouteTable>(item.value);
}

}  // namespace

bool IsOfOperator(const PublishedItem& item) {
  return IsBook(item) || std::holds_alternative<ZoneDrain>(item.value);
}

bool ServesEachRoute(const PublishedItems& items) {
  const auto book = std::ranges::find_if(items.items, IsBook);
  if (book == items.items.end()) {
    return false;
  }
  return std::ranges::all_of(
      std::get<RouteTable>(book->value).services, [&](const ServiceTraits& it) {
        return CountLive(items, it.id) >= kFewestEndpoints;
      });
}

}  // namespace damasktack
