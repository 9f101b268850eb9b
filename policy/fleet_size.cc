#include "policy/fleet_size.h"

#include <algorithm>

namespace damasktack {

namespace {

// In which a host that starts learns how many hosts there are. After a loss of
// power that all of them had, each counts the few that are back before it, and
// would take itself for a large part of the fleet.
constexpr Duration kUntilCounted = std::chrono::seconds(5);
// A host that is cut off from its peers counts itself alone while they all go
// on.
constexpr Duration kShrinkDelay = std::chrono::seconds(30);

}  // namespace

void FleetSize::Set(std::int64_t hosts, std::size_t endpoints, TimePoint now) {
  const auto counted = static_cast<double>(std::max<std::int64_t>(hosts, 1));
  const bool is_before_larger = now < before_until_ && before_ > hosts_;
  if (counted < hosts_ && !is_before_larger) {
    before_ = hosts_;
    before_until_ = now + kShrinkDelay;
  }
  hosts_ = counted;
  endpoints_ = static_cast<double>(endpoints);
  if (!first_list_at_ && endpoints > 0) {
    first_list_at_ = now;
  }
}

// While nobody has counted the hosts, there are taken to be as many as the
// service has endpoints.
double FleetSize::Count(TimePoint now) const {
  const bool is_counted =
      first_list_at_ && now - *first_list_at_ >= kUntilCounted;
  const double before = now < before_until_ ? before_ : 1;
  const double unknown = is_counted ? 1 : endpoints_;
  return std::max({hosts_, before, unknown, 1.0});
}

}  // namespace damasktack
