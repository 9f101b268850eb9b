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

// State of one limit of one customer, for operators. Shares are in thousandths
// of a call, or of a call per second.
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

// Enforces the fleet-wide limits of all customers together with the other
// hosts. Each limit is divided into shares of equal size, one per host, which
// hosts lend to each other by demand. The sum of the calls that all hosts admit
// never exceeds a limit, even if messages are lost or late or hosts are cut
// off. A FleetModule; not thread-safe (see FleetLimitGate).
class LimitAllocator {
 public:
  LimitAllocator(HostId self, Incarnation incarnation, LimitOptions options);

  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out);

  // Sets the contracts in force. The accounts of a customer without a contract
  // are removed once nothing is in flight, lent or borrowed.
  void SetContracts(const std::vector<Contract>& contracts, TimePoint now);
  LimitGate::Verdict Enter(const Contract& contract, TimePoint now);
  void Leave(const CustomerId& customer, TimePoint now);

  // Records an operator's confirmation that the last known process of `host`
  // has ended, and tells the other hosts.
  void ConfirmGone(const HostId& host, TimePoint now, Outbox& out);
  // Returns all borrowed leases and stops lending, for a graceful stop.
  void ReturnLeases(TimePoint now, Outbox& out);

  // Returns the counted hosts, for other modules that must agree on the hosts
  // that may act at the same time.
  CountedFleet Counted() const { return {hosts_.owns(), hosts_.Counted()}; }
  LimitAllocatorStatus Status(TimePoint now) const;
  // Returns the amount of one limit that may be used now, in kLimitUnit.
  std::int64_t Usable(const CustomerId& customer,
                      LimitKind kind,
                      TimePoint now) const;

 private:
  // One customer's accounts, by LimitKind.
  struct Accounts {
    std::array<LimitAccount, kLimitKindCount> kinds;
  };

  void On(const Sender& sender,
          const CountRequest& request,
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
          const LendRequest& request,
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
  // Configures the accounts of a call's contract if a limit is not known yet.
  void ConfigureMissing(const Contract& contract, TimePoint now);
  void UpdateShares(TimePoint now);
  bool IsWithinShares(TimePoint now) const;
  void RecordGone(const CountedHost& process, TimePoint now, Outbox& out);
  void RequestAcks(TimePoint now, Outbox& out);
  void GossipGone(TimePoint now, Outbox& out);
  void Borrow(TimePoint now, Outbox& out);
  void SendReturns(TimePoint now, Outbox& out);
  std::uint64_t NextLease() { return next_lease_++; }

  const LimitOptions options_;
  LimitHosts hosts_;
  std::map<CustomerId, Accounts> accounts_;
  LimitCounters counters_;
  std::uint64_t next_lease_;
  std::size_t next_lender_;
  std::size_t next_gossip_target_ = 0;
  TimePoint next_round_;
  TimePoint next_ack_request_;
  TimePoint next_gossip_;
  bool returning_leases_ = false;
};

static_assert(FleetModule<LimitAllocator>);

}  // namespace damasktack

#endif  // FLEET_LIMIT_ALLOCATOR_H_
