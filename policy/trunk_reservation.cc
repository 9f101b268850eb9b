#include "policy/trunk_reservation.h"

#include <algorithm>

namespace damasktack {

bool TrunkReservation::Allows(Urgency urgency, const SlotView& slots) const {
  const double spare = options_.spare[static_cast<std::size_t>(urgency)];
  return spare == 0 || slots.free > spare * slots.usable;
}

double TrunkReservation::MaxLoad(Urgency urgency, bool owed) const {
  const Urgency as = owed ? Urgency::kUrgent : urgency;
  return options_.max_load[static_cast<std::size_t>(as)];
}

Duration TrunkReservation::MaxDispatchInterval(Urgency urgency,
                                               double usable_slots,
                                               Duration mean_service_time,
                                               std::int64_t hosts) const {
  const double floor = options_.floors[static_cast<std::size_t>(urgency)];
  const double slots = std::max(usable_slots, 1.0);
  const auto service_time = static_cast<double>(mean_service_time.count());
  const double pause =
      service_time * static_cast<double>(hosts) / (floor * slots);
  const double longest =
      static_cast<double>(options_.max_dispatch_interval.count());
  const Duration bounded(static_cast<Duration::rep>(std::min(pause, longest)));
  return std::max(bounded, options_.min_dispatch_interval);
}

}  // namespace damasktack
