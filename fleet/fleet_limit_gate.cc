#include "fleet/fleet_limit_gate.h"

#include <algorithm>
#include <utility>

namespace damasktack {

FleetLimitGate::FleetLimitGate(HostId self,
                               Incarnation incarnation,
                               LimitOptions options,
                               ReadClock read_clock)
    : read_clock_(std::move(read_clock)),
      allocator_(std::move(self), incarnation, options) {}

// Reads the clock again under the lock, as the thread may have been suspended
// since its caller read the clock. With the old time, an expired lease would
// look live, and a loan would run from before the borrower's request.
TimePoint FleetLimitGate::Now(TimePoint caller_time) const {
  return std::max(caller_time, read_clock_());
}

LimitGate::Verdict FleetLimitGate::Enter(const Contract& contract,
                                         TimePoint now) {
  const std::lock_guard lock(mutex_);
  return allocator_.Enter(contract, Now(now));
}

void FleetLimitGate::Leave(const CustomerId& customer, TimePoint now) {
  const std::lock_guard lock(mutex_);
  allocator_.Leave(customer, Now(now));
}

void FleetLimitGate::OnView(const HostView& view, TimePoint now, Outbox& out) {
  const std::lock_guard lock(mutex_);
  HostView seen = view;
  if (standalone_) {
    seen.revision = std::max<Revision>(seen.revision, 1);
    seen.peers.clear();
    seen.unlisted.clear();
  }
  allocator_.OnView(seen, Now(now), out);
}

void FleetLimitGate::OnMessage(const Sender& sender,
                               const PeerMessage& message,
                               TimePoint now,
                               Outbox& out) {
  const std::lock_guard lock(mutex_);
  allocator_.OnMessage(sender, message, Now(now), out);
}

void FleetLimitGate::Tick(TimePoint now, Outbox& out) {
  const std::lock_guard lock(mutex_);
  allocator_.Tick(Now(now), out);
}

void FleetLimitGate::SetContracts(const std::vector<Contract>& contracts) {
  const std::lock_guard lock(mutex_);
  allocator_.SetContracts(contracts, read_clock_());
}

void FleetLimitGate::SetStandalone() {
  standalone_ = true;
  Outbox nobody;
  OnView({}, read_clock_(), nobody);
}

void FleetLimitGate::ConfirmGone(const HostId& host, Outbox& out) {
  const std::lock_guard lock(mutex_);
  allocator_.ConfirmGone(host, read_clock_(), out);
}

void FleetLimitGate::ReturnLeases(Outbox& out) {
  const std::lock_guard lock(mutex_);
  allocator_.ReturnLeases(read_clock_(), out);
}

CountedFleet FleetLimitGate::Counted() const {
  const std::lock_guard lock(mutex_);
  return allocator_.Counted();
}

LimitAllocatorStatus FleetLimitGate::Status() const {
  const std::lock_guard lock(mutex_);
  return allocator_.Status(read_clock_());
}

}  // namespace damasktack
