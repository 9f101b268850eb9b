#ifndef POLICY_HOST_NUMBER_H_
#define POLICY_HOST_NUMBER_H_

#include <cstdint>

namespace damasktack {

// Number of one host in the fleet, which no other host has. Operators see it as
// the host's seat. Two hosts may have the same number for a moment, until the
// previous holder learns that it was reassigned.
struct HostNumber {
  static constexpr std::int64_t kNone = -1;

  std::int64_t number = kNone;
  // Count of host numbers; `number` is below it.
  std::int64_t number_count = 0;

  bool IsKnown() const { return number != kNone; }

  bool operator==(const HostNumber&) const = default;
};

}  // namespace damasktack

#endif  // POLICY_HOST_NUMBER_H_
