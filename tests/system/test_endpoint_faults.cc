#include <doctest/doctest.h>
#include <signal.h>

#include <thread>

#include "tests/system/load_checks.h"
#include "tests/system/system_fleet.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

EndpointFaults Spoiling(AnswerFault fault, double share) {
  EndpointFaults faults;
  faults.answer = fault;
  faults.answer_share = share;
  return faults;
}

void SetFaults(SystemFleet& fleet,
               const std::string& id,
               const EndpointFaults& faults) {
  StandinEndpoint* endpoint = fleet.standins().Find(EndpointId(id));
  REQUIRE(endpoint != nullptr);
  endpoint->SetFaults(faults);
}

// Callers of a service see it through three bad endpoints: one goes without a
// warning, one answers errors at once, one becomes ten times slower. Lookups
// may be repeated elsewhere; a command whose connection died may have run and
// must be called unknown, never not-run, and never be sent again.
TEST_CASE("outcomes stay true while endpoints go, fail fast and slow down") {
  SystemFleet fleet({Preset::kAlentejo, 3, 0});
  LoadPlan plan = fleet.Plan(seconds(7));
  plan.classes = {DockCommands(80), UnkeyedCommands(80), Lookups(200)};
  auto load = StartLoad(plan);
  WaitUntil("calls run", [&] { return fleet.standins().log().total() > 300; });
  EndpointFaults faults;
  faults.drain = DrainMode::kSilent;
  SetFaults(fleet, "dispatch-1", faults);
  SetFaults(fleet, "dashboard-1", faults);
  faults = {};
  faults.failing_share = 1;
  SetFaults(fleet, "dispatch-2", faults);
  SetFaults(fleet, "dashboard-2", faults);
  faults = {};
  faults.slowdown = 10;
  SetFaults(fleet, "dispatch-3", faults);
  SetFaults(fleet, "dashboard-3", faults);
  const LoadRecords records = load.get();
  PrintOutcomes(plan, records);
  CheckOutcomesMatchExecutions(plan, records, fleet.standins().log());
  CHECK(CountOf(records, LoadOutcome::kCut) == 0);
  CHECK(CountOf(records, LoadOutcome::kComplete) > records.size() * 9 / 10);
}

// Callers get whole answers or are told that they did not. Endpoints halve
// answers, close without one, and send a second answer that nobody asked for,
// which must not become the next caller's.
TEST_CASE("spoiled answers never reach a caller as whole or as another's") {
  SystemFleet fleet({Preset::kAlentejo, 3, 0});
  SetFaults(fleet, "dispatch-1", Spoiling(AnswerFault::kHalf, 0.2));
  SetFaults(fleet, "dispatch-2", Spoiling(AnswerFault::kClose, 0.2));
  SetFaults(fleet, "dispatch-3", Spoiling(AnswerFault::kCloseUnrun, 0.2));
  SetFaults(fleet, "dispatch-4", Spoiling(AnswerFault::kStray, 0.2));
  SetFaults(fleet, "dashboard-1", Spoiling(AnswerFault::kHalf, 0.2));
  SetFaults(fleet, "dashboard-2", Spoiling(AnswerFault::kStray, 0.5));
  LoadPlan plan = fleet.Plan(seconds(5));
  plan.classes = {DockCommands(80), UnkeyedCommands(80), Lookups(200)};
  const LoadRecords records = StartLoad(plan).get();
  PrintOutcomes(plan, records);
  CheckOutcomesMatchExecutions(plan, records, fleet.standins().log());
  CHECK(CountOf(records, LoadOutcome::kCut) == 0);
}

// Two faults at once: the platform is gone and an entry host dies while an
// endpoint slows down tenfold. The other hosts go on with what they know, and
// nobody is told what is not so.
TEST_CASE("the platform, a host and an endpoint fail together") {
  SystemFleet fleet({Preset::kAlentejo, 4, 0});
  LoadPlan plan = fleet.Plan(seconds(7));
  plan.classes = {DockCommands(80), UnkeyedCommands(80), Lookups(200)};
  auto load = StartLoad(plan);
  WaitUntil("calls run", [&] { return fleet.standins().log().total() > 300; });
  fleet.standins().platform().SetFault(StandinPlatform::Fault::kRefusing);
  EndpointFaults slow;
  slow.slowdown = 10;
  SetFaults(fleet, "dispatch-2", slow);
  fleet.host(3).Signal(SIGKILL);
  fleet.host(3).Wait();
  std::this_thread::sleep_for(seconds(2));
  fleet.StartHost(3);
  fleet.WaitReady(3);
  const LoadRecords records = load.get();
  PrintOutcomes(plan, records);
  CheckOutcomesMatchExecutions(plan, records, fleet.standins().log());
  CHECK(CountOf(records, LoadOutcome::kNoEntry) == 0);
  CHECK(CountOf(records, LoadOutcome::kCut) < 50);
}

}  // namespace
}  // namespace damasktack
