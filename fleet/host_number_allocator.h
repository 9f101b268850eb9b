#ifndef FLEET_HOST_NUMBER_ALLOCATOR_H_
#define FLEET_HOST_NUMBER_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>

#include "core/ids.h"
#include "core/time.h"
#include "policy/host_number.h"

namespace damasktack {

// Assigns a unique number to each host of the fleet: each seed assigns numbers
// to its followers from a set disjoint from those of other seeds. It is a pure
// state machine.
//
// A host keeps its number for kLease after it lost its seed, and the seed
// reserves the number for kReservation, which is longer, so a number is
// reassigned only when no host uses it any longer. A restarted seed adopts the
// numbers that its followers report.
class HostNumberAllocator {
 public:
  // How long a host uses its number after its link to the seed went down, and
  // how long a seed reserves the number of a host that it no longer hears from.
  static constexpr Duration kLease = std::chrono::seconds(20);
  static constexpr Duration kReservation = std::chrono::seconds(60);

  // Sets the rank of this host among the seeds, null if it is not a seed, and
  // the number of seeds.
  void SetRank(std::optional<std::int64_t> rank, std::int64_t seeds);

  // On a seed: returns the number of a follower, which reports `claimed` as its
  // current one. `others` is the largest number of followers of any other seed.
  HostNumber AssignNumber(const HostId& host,
                          const HostNumber& claimed,
                          std::int64_t others,
                          TimePoint now);
  // Raises the number limit to the one reported by another host.
  void RaiseNumberLimit(std::int64_t limit);
  // On any other host: a seed has assigned a number, or the link to a seed is
  // up or down.
  void OnNumberAssigned(const HostId& seed, const HostNumber& number);
  void OnLinkUp(const HostId& seed);
  void OnLinkDown(const HostId& seed, TimePoint now);

  // Returns the number of this host; unknown if none was assigned or the lease
  // has expired.
  HostNumber OwnNumber(TimePoint now) const;

 private:
  struct Reservation {
    // Starts at 1; 0 is the index of the seed itself.
    std::int64_t index = 0;
    TimePoint heard_at;
  };

  std::int64_t AssignIndex(const HostId& host,
                           const HostNumber& claimed,
                           TimePoint now);
  bool IsFree(std::int64_t index) const;
  std::int64_t NumberAt(std::int64_t index) const {
    return index * seeds_ + *rank_;
  }
  // Raises the number limit, which never decreases: hosts with different limits
  // overlap in their shares for a moment.
  void GrowNumberLimit(std::int64_t max_index);

  std::optional<std::int64_t> rank_;
  std::int64_t seeds_ = 1;
  std::int64_t number_limit_ = 1;
  std::map<HostId, Reservation> reservations_;

  HostNumber assigned_;
  HostId assigned_by_;
  std::optional<TimePoint> expires_at_;
};

}  // namespace damasktack

#endif  // FLEET_HOST_NUMBER_ALLOCATOR_H_
