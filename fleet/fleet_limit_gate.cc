#include "fleet/fleet_limit_gate.h"

#include <algorithm>
#include <utility>

namespace damasktack {

FleetLimitGate::FleetLimitGate(HostId self,
                               Incarnation incarnation,
                               LimitOptions options,
                               ReadClock read_clock)
    : read_clock_(std::move(read_clock)),
      ledger_(std::move(self), incarnation, options) {}

// A thread may have been stopped since its caller read the clock. A lease that
// ended meanwhile would look live, and a loan would be counted from before the
// borrower asked; so the clock is read again under the lock.
TimePoint FleetLimitGate::Now(TimePoint told) const {
  return std::max(told, read_clock_());
}

LimitGate::Verdict FleetLimitGate::Enter(const Contract& contract,
                                         TimePoint now) {
  const std::lock_guard lock(mutex_);
  return ledger_.Enter(contract, Now(now));
}

void FleetLimitGate::Leave(const CustomerId& customer, TimePoint now) {
  const std::lock_guard lock(mutex_);
  ledger_.Leave(customer, Now(now));
}

void FleetLimitGate::OnView(const HostView& view, TimePoint now, Outbox& out) {
  const std::lock_guard lock(mutex_);
  HostView seen = view;
  if (alone_) {
    seen.revision = std::max<Revision>(seen.revision, 1);
    seen.peers.clear();
    seen.unlisted.clear();
  }
  ledger_.OnView(seen, Now(now), out);
}

void FleetLimitGate::OnMessage(const Sender& sender,
                               const PeerMessage& message,
                               TimePoint now,
                               Outbox& out) {
  const std::lock_guard lock(mutex_);
  ledger_.OnMessage(sender, message, Now(now), out);
}

void FleetLimitGate::Tick(TimePoint now, Outbox& out) {
  const std::lock_guard lock(mutex_);
  ledger_.Tick(Now(now), out);
}

void FleetLimitGate::SetContracts(const std::vector<Contract>& contracts) {
  const std::lock_guard lock(mutex_);
  ledger_.SetContracts(contracts, read_clock_());
}

void FleetLimitGate::SetStandalone() {
  alone_ = true;
  Outbox nobody;
  OnView({}, read_clock_(), nobody);
}

void FleetLimitGate::ConfirmGone(const HostId& host, Outbox& out) {
  const std::lock_guard lock(mutex_);
  ledger_.ConfirmGone(host, read_clock_(), out);
}

void FleetLimitGate::ReturnLeases(Outbox& out) {
  const std::lock_guard lock(mutex_);
  ledger_.ReturnLeases(read_clock_(), out);
}

CountedFleet FleetLimitGate::Counted() const {
  const std::lock_guard lock(mutex_);
  return ledger_.Counted();
}

LimitAllocatorStatus FleetLimitGate::Status() const {
  const std::lock_guard lock(mutex_);
  return ledger_.Status(read_clock_());
}

}  // namespace damasktack
