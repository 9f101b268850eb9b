#ifndef FLEET_FLEET_LIMIT_GATE_H_
#define FLEET_FLEET_LIMIT_GATE_H_

#include <functional>
#include <mutex>
#include <vector>

#include "fleet/limit_allocator.h"
#include "fleet/limit_gate.h"

namespace damasktack {

// The LimitGate of a daemon in a fleet: a LimitAllocator behind one lock, which
// callers' threads and the fleet loop share. A call is decided by what this
// host has at hand and never waits for a message. Also a FleetModule.
class FleetLimitGate : public LimitGate {
 public:
  using ReadClock = std::function<TimePoint()>;

  FleetLimitGate(HostId self,
                 Incarnation incarnation,
                 LimitOptions options,
                 ReadClock read_clock = &Clock::now);

  Verdict Enter(const Contract& contract, TimePoint now) override;
  void Leave(const CustomerId& customer, TimePoint now) override;

  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  // To be called before the contracts are put in force for callers.
  void SetContracts(const std::vector<Contract>& contracts);
  // For a daemon without peers, whatever the list says: it owns every limit
  // whole.
  void SetStandalone();
  void ConfirmGone(const HostId& host, Outbox& out);
  void ReturnLeases(Outbox& out);

  CountedFleet Counted() const;
  LimitAllocatorStatus Status() const;

 private:
  TimePoint Now(TimePoint told) const;

  const ReadClock read_clock_;
  bool alone_ = false;
  mutable std::mutex mutex_;
  LimitAllocator ledger_;
};

static_assert(FleetModule<FleetLimitGate>);

}  // namespace damasktack

#endif  // FLEET_FLEET_LIMIT_GATE_H_
