#ifndef FLEET_LIMIT_ALLOCATOR_H_
#define FLEET_LIMIT_ALLOCATOR_H_

#include <array>
#include <cstdint>
#include <map>
#include <vector>

#include "contract/contract.h"
#include "fleet/fleet_module.h"
#include "fleet/limit_account.h"
#include "fleet/limit_gate.h"
#include "fleet/limit_hosts.h"
#include "fleet/limit_options.h"

namespace damasktack {

// One limit of one customer as operators see it, in thousandths.
struct LimitStatus {
  CustomerId customer;
  LimitKind kind = LimitKind::kRate;
  std::int64_t owned = 0;
  std::int64_t lent = 0;
  std::int64_t borrowed = 0;
  std::int64_t in_flight = 0;
};

struct LimitCounters {
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t asks = 0;
  std::uint64_t grants = 0;
  std::uint64_t returns = 0;
};

struct LimitAllocatorStatus {
  std::int64_t counted_hosts = 1;
  bool owns = false;
  std::vector<HostId> missing_acks;
  std::vector<OrphanHost> orphans;
  std::vector<LimitStatus> limits;
  LimitCounters counters;
};

// Keeps every customer's fleet-wide limits with the other hosts: the sum of
// what all admit never passes a limit, whatever is lost, late or cut off.
// A FleetModule; not safe for several threads (see FleetLimitGate).
class LimitAllocator {
 public:
  LimitAllocator(HostId self, Incarnation incarnation, LimitOptions options);

  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  // The contracts in force. A customer that is no longer named is forgotten
  // once nothing of it is in flight, lent or borrowed.
  void SetContracts(const std::vector<Contract>& contracts, TimePoint now);
  LimitGate::Verdict Enter(const Contract& contract, TimePoint now);
  void Leave(const CustomerId& customer, TimePoint now);

  // An operator has made sure that the last known process of `host` has ended.
  // Told to the other hosts.
  void ConfirmGone(const HostId& host, TimePoint now, Outbox& out);
  // Graceful stop: hands back what is borrowed and lends nothing more.
  void ReturnLeases(TimePoint now, Outbox& out);

  // For whatever else must agree on who may act at the same time.
  CountedFleet Counted() const { return {hosts_.owns(), hosts_.Counted()}; }
  LimitAllocatorStatus Status(TimePoint now) const;
  // What may be used now of one limit, in kLimitUnit.
  std::int64_t Usable(const CustomerId& customer,
                      LimitKind kind,
                      TimePoint now) const;

 private:
  // One customer's accounts, by LimitKind.
  struct Accounts {
    std::array<LimitAccount, kLimitKindCount> kinds;
  };

  void On(const Sender& sender,
          const CountRequest& ask,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const CountAck& ack,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const GoneHosts& gone,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const Goodbye& goodbye,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const LendRequest& ask,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const LendGrant& grant,
          TimePoint now,
          Outbox& out);
  void On(const Sender& sender,
          const LendReturn& returned,
          TimePoint now,
          Outbox& out);

  Accounts& AccountsOf(const CustomerId& customer);
  void Configure(const Contract& contract, TimePoint now);
  void ConfigureMissing(const Contract& contract, TimePoint now);
  void Divide(TimePoint now);
  bool Fits(TimePoint now) const;
  void LearnGone(const CountedHost& process, TimePoint now, Outbox& out);
  void AskForAcks(TimePoint now, Outbox& out);
  void TellGone(TimePoint now, Outbox& out);
  void Borrow(TimePoint now, Outbox& out);
  void SendReturns(TimePoint now, Outbox& out);
  std::uint64_t NextLease() { return next_lease_++; }

  const LimitOptions options_;
  LimitHosts hosts_;
  std::map<CustomerId, Accounts> accounts_;
  LimitCounters counters_;
  std::uint64_t next_lease_;
  std::size_t next_lender_;
  std::size_t next_listener_ = 0;
  TimePoint next_round_;
  TimePoint next_ask_;
  TimePoint next_gossip_;
  bool returning_leases_ = false;
};

static_assert(FleetModule<LimitAllocator>);

}  // namespace damasktack

#endif  // FLEET_LIMIT_ALLOCATOR_H_
