#include "fleet/fleet_limit_gate.h"

#include <doctest/doctest.h>

namespace damasktack {

namespace {

Contract MakeContract(std::int64_t in_flight) {
  Contract contract;
  contract.customer = CustomerId("parks");
  contract.limits.in_flight = in_flight;
  return contract;
}

}  // namespace

TEST_CASE("a daemon alone owns the whole limit and gets it back") {
  FleetLimitGate gate(HostId("h0"), 1, {});
  const Contract contract = MakeContract(2);
  CHECK_FALSE(gate.Enter(contract, {}).admitted);
  gate.SetStandalone();
  gate.SetContracts({contract});
  CHECK(gate.Enter(contract, {}).admitted);
  CHECK(gate.Enter(contract, {}).admitted);
  CHECK_FALSE(gate.Enter(contract, {}).admitted);
  gate.Leave(contract.customer, {});
  CHECK(gate.Enter(contract, {}).admitted);
  CHECK(gate.Status().limits.front().in_flight == 2);
}

// A call's thread is stopped between reading the clock and asking the gate.
// Meanwhile the borrowed part ends and its lender uses it again; by the old
// time the lease would still hold and both would admit.
TEST_CASE("an old time from a late thread does not keep a lease alive") {
  TimePoint clock = TimePoint(std::chrono::hours(1));
  FleetLimitGate gate(HostId("h0"), 1, {}, [&clock] { return clock; });
  const Contract contract = MakeContract(2);
  Outbox out;
  HostView view;
  view.revision = 1;
  view.peers.push_back(
      {HostId("h1"), 2, ZoneId("z"), ListedState::kLive, true});
  gate.OnView(view, clock, out);
  gate.SetContracts({contract});
  CHECK_FALSE(gate.Enter(contract, clock).admitted);
  gate.Tick(clock, out);
  LendGrant grant;
  for (const Outbox::Item& it : out.Take()) {
    if (const auto* ask = std::get_if<LendRequest>(&it.message)) {
      const LendRequestItem& item = ask->items.front();
      grant.items.push_back({item.lease, 0, item.customer, item.kind,
                             kLimitUnit, std::chrono::seconds(2),
                             std::chrono::minutes(1)});
    }
  }
  REQUIRE(grant.items.size() == 1);
  gate.OnMessage({HostId("h1"), 2}, grant, clock, out);
  CHECK(gate.Enter(contract, clock).admitted);
  gate.Leave(contract.customer, clock);
  const TimePoint old = clock;
  clock += std::chrono::seconds(3);
  CHECK_FALSE(gate.Enter(contract, old).admitted);
}

}  // namespace damasktack
