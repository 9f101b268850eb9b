#ifndef POLICY_FLEET_SIZE_H_
#define POLICY_FLEET_SIZE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "core/time.h"

namespace damasktack {

// How many hosts share the endpoints of a service, as one of them is to believe
// where it takes its part of what an endpoint bears: rather too many than too
// few, since no host sees what the others take.
class FleetSize {
 public:
  // What is known now, and how many endpoints the service has.
  void Set(std::int64_t hosts, std::size_t endpoints, TimePoint now);
  // At least 1.
  double Count(TimePoint now) const;

 private:
  double hosts_ = 1;
  double endpoints_ = 1;
  std::optional<TimePoint> first_list_at_;
  // The larger size that was known before, and until when it counts.
  double before_ = 1;
  TimePoint before_until_;
};

}  // namespace damasktack

#endif  // POLICY_FLEET_SIZE_H_
