#ifndef POLICY_TRUNK_RESERVATION_H_
#define POLICY_TRUNK_RESERVATION_H_

#include <array>

#include "contract/contract.h"
#include "core/time.h"

namespace damasktack {

struct TrunkReservationOptions {
  // Fraction of the usable slots that must look free for a dispatch, by
  // urgency.
  std::array<double, kUrgencyCount> spare = {0.0, 0.0, 0.12};
  // Limit on the load of the chosen endpoint after the send, by urgency. Urgent
  // calls may wait in a short queue there, since an old report states that an
  // endpoint is full for longer than it is.
  std::array<double, kUrgencyCount> max_load = {1.35, 1.01, 1.01};
  // Minimum fraction of the slots for each urgency while it has waiting calls.
  std::array<double, kUrgencyCount> floors = {1.0, 0.10, 0.05};
  Duration min_dispatch_interval = std::chrono::milliseconds(10);
  Duration max_dispatch_interval = std::chrono::seconds(10);
};

// Slots of one service, as currently seen by one host.
struct SlotView {
  double free = 0;
  double usable = 0;
};

// Limits how much of the endpoints each urgency may fill. Hosts share no queue,
// so less urgent calls leave slots that look free on every host: an urgent call
// then finds a slot at whichever host it arrives.
class TrunkReservation {
 public:
  explicit TrunkReservation(TrunkReservationOptions options)
      : options_(options) {}

  // Returns whether a call of this urgency may take a slot.
  bool Allows(Urgency urgency, const SlotView& slots) const;
  // Returns the limit on the load of the endpoint; calls with a dispatch credit
  // (`has_credit`) have the limit of urgent ones.
  double MaxLoad(Urgency urgency, bool has_credit) const;
  // Returns how long an urgency may wait on one of `hosts` hosts without a
  // dispatch until it is granted one, so that all hosts together provide its
  // minimum share.
  Duration MaxDispatchInterval(Urgency urgency,
                               double usable_slots,
                               Duration mean_service_time,
                               std::int64_t hosts) const;

 private:
  TrunkReservationOptions options_;
};

}  // namespace damasktack

#endif  // POLICY_TRUNK_RESERVATION_H_
