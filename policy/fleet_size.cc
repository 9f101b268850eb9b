#include "policy/fleet_size.h"

#include <algorithm>

namespace damasktack {

namespace {

// Time in which a starting host learns the number of hosts. After a power loss
// of the whole fleet, each host counts only the few that returned before it,
// and would take too large a share.
constexpr Duration kHostCountDelay = std::chrono::seconds(5);
// Delay before a smaller count applies: a host that is cut off from its peers
// counts only itself while they continue.
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

// Until the hosts are counted, assumes as many hosts as the service has
// endpoints.
double FleetSize::Count(TimePoint now) const {
  const bool is_counted =
      first_list_at_ && now - *first_list_at_ >= kHostCountDelay;
  const double before = now < before_until_ ? before_ : 1;
  const double unknown = is_counted ? 1 : endpoints_;
  return std::max({hosts_, before, unknown, 1.0});
}

}  // namespace damasktack
