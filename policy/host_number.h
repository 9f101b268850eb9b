#ifndef POLICY_HOST_NUMBER_H_
#define POLICY_HOST_NUMBER_H_

#include <cstdint>

namespace damasktack {

// The place of one host among those of the fleet, by a number that no other
// host has. For a moment two may have the same: one that has not heard yet
// that its number went to another.
struct HostNumber {
  static constexpr std::int64_t kNone = -1;

  std::int64_t number = kNone;
  // All numbers are below this.
  std::int64_t seats = 0;

  bool IsKnown() const { return number != kNone; }

  bool operator==(const HostNumber&) const = default;
};

}  // namespace damasktack

#endif  // POLICY_HOST_NUMBER_H_
