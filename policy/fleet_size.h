#ifndef POLICY_FLEET_SIZE_H_
#define POLICY_FLEET_SIZE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time.h"

namespace damasktack {

// Estimates the number of hosts that share the endpoints of a service. A host
// uses it to compute its share of what an endpoint tolerates. It errs towards
// too many hosts, since no host sees what the others send.
class FleetSize {
 public:
  // Sets the current count of hosts and the number of endpoints of the service.
  void Set(std::int64_t hosts, std::size_t endpoints, TimePoint now);
  // Returns the number of hosts to assume; at least 1.
  double Count(TimePoint now) const;

 private:
  double hosts_ = 1;
  double endpoints_ = 1;
  std::optional<TimePoint> first_list_at_;
  // The previous, larger count and the time until which it applies.
  double before_ = 1;
  TimePoint before_until_;
};

}  // namespace damasktack

#endif  // POLICY_FLEET_SIZE_H_
