#ifndef POLICY_TRUNK_RESERVATION_H_
#define POLICY_TRUNK_RESERVATION_H_

#include <array>

#include "contract/contract.h"
#include "core/time.h"

namespace damasktack {

struct TrunkReservationOptions {
  // Part of the usable slots that must look free for a dispatch, by urgency.
  std::array<double, kUrgencyCount> spare = {0.0, 0.0, 0.12};
  // Most load of the picked endpoint after the send, by urgency. Urgent calls
  // may wait in a short queue there: a report that is old says "full" for
  // longer than it is.
  std::array<double, kUrgencyCount> max_load = {1.35, 1.01, 1.01};
  // Part of the slots that an urgency gets at least while it waits.
  std::array<double, kUrgencyCount> floors = {1.0, 0.10, 0.05};
  Duration min_dispatch_interval = std::chrono::milliseconds(10);
  Duration max_dispatch_interval = std::chrono::seconds(10);
};

// Slots of one service as one host sees them now.
struct SlotView {
  double free = 0;
  double usable = 0;
};

// How much of the endpoints each urgency may fill. Hosts share no queue, so
// less urgent work leaves slots that look free on every host: an urgent call
// then finds one wherever it arrives.
class TrunkReservation {
 public:
  explicit TrunkReservation(TrunkReservationOptions options)
      : options_(options) {}

  // Whether a call of this urgency may take a slot.
  bool Allows(Urgency urgency, const SlotView& slots) const;
  // Bound on the load of the endpoint; `owed` calls go as far as urgent ones.
  double MaxLoad(Urgency urgency, bool owed) const;
  // How long an urgency may wait on one of `hosts` hosts without a dispatch
  // before it is owed one, so that all hosts together give it its floor.
  Duration MaxDispatchInterval(Urgency urgency,
                               double usable_slots,
                               Duration mean_service_time,
                               std::int64_t hosts) const;

 private:
  TrunkReservationOptions options_;
};

}  // namespace damasktack

#endif  // POLICY_TRUNK_RESERVATION_H_
