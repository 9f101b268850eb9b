#ifndef FLEET_HOST_NUMBER_ALLOCATOR_H_
#define FLEET_HOST_NUMBER_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>

#include "core/ids.h"
#include "core/time.h"
#include "policy/host_number.h"

namespace damasktack {

// How hosts come to numbers of their own: each seed gives numbers to the hosts
// that follow it, apart from those of other seeds. Pure.
//
// A host keeps its number for a while without its seed, and the seed keeps it
// for that host for longer, so that a number passes to another host only when
// nobody goes by it any more. A seed that has started anew takes over the
// numbers that its hosts tell it.
class HostNumberAllocator {
 public:
  // For how long a host goes by a number after its link to the seed went down,
  // and for how long a seed keeps the number of a host that it does not hear.
  static constexpr Duration kLease = std::chrono::seconds(20);
  static constexpr Duration kHeld = std::chrono::seconds(60);

  // This host's place among the seeds, null where it is none, and their number.
  void SetRank(std::optional<std::int64_t> rank, std::int64_t seeds);

  // At a seed: the seat of a host that follows it and says which it has.
  // `others` is the most hosts that follow another seed.
  HostNumber SeatOf(const HostId& host,
                    const HostNumber& claimed,
                    std::int64_t others,
                    TimePoint now);
  // How many seats another host believes that there are.
  void HearSeats(std::int64_t seats);
  // At another host: what a seed says, and that the link to it is up or down.
  void OnSeat(const HostId& seed, const HostNumber& seat);
  void OnLinkUp(const HostId& seed);
  void OnLinkDown(const HostId& seed, TimePoint now);

  // This host's own; none where it has not been told.
  HostNumber Own(TimePoint now) const;

 private:
  struct Held {
    // From 1 up; 0 is the seed's own.
    std::int64_t index = 0;
    TimePoint heard_at;
  };

  std::int64_t IndexOf(const HostId& host,
                       const HostNumber& claimed,
                       TimePoint now);
  bool IsFree(std::int64_t index) const;
  std::int64_t NumberOf(std::int64_t index) const {
    return index * seeds_ + *rank_;
  }
  // Never fewer seats than before: hosts that differ in their number share
  // turns for a moment.
  void MakeRoom(std::int64_t most_index);

  std::optional<std::int64_t> rank_;
  std::int64_t seeds_ = 1;
  std::int64_t seats_ = 1;
  std::map<HostId, Held> held_;

  HostNumber told_;
  HostId told_by_;
  std::optional<TimePoint> ends_at_;
};

}  // namespace damasktack

#endif  // FLEET_HOST_NUMBER_ALLOCATOR_H_
