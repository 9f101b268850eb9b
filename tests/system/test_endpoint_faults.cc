#include <doctest/doctest.h>
#include <signal.h>

#include <thread>

#include "tests/system/load_checks.h"
#include "tests/system/system_fleet.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

EndpointFaults MakeAnswerFault(AnswerFault fault, double share) {
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

// Three endpoints of a service fail: one disappears without a warning, one
// returns errors at once, one becomes ten times slower. Lookups may be retried
// elsewhere; a command whose connection broke may have run, so it must be
// reported as unknown, never as not-run, and never be retried.
TEST_CASE(
    "outcomes are true while endpoints disappear, fail fast and slow down") {
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

// Endpoints truncate responses, close without one, and send a second,
// unsolicited response, which must not reach the next caller. Callers must get
// complete responses or be told that they did not.
TEST_CASE(
    "faulty responses never reach a caller as complete or as another "
    "caller's") {
  SystemFleet fleet({Preset::kAlentejo, 3, 0});
  SetFaults(fleet, "dispatch-1", MakeAnswerFault(AnswerFault::kHalf, 0.2));
  SetFaults(fleet, "dispatch-2", MakeAnswerFault(AnswerFault::kClose, 0.2));
  SetFaults(fleet, "dispatch-3",
            MakeAnswerFault(AnswerFault::kCloseUnrun, 0.2));
  SetFaults(fleet, "dispatch-4", MakeAnswerFault(AnswerFault::kStray, 0.2));
  SetFaults(fleet, "dashboard-1", MakeAnswerFault(AnswerFault::kHalf, 0.2));
  SetFaults(fleet, "dashboard-2", MakeAnswerFault(AnswerFault::kStray, 0.5));
  LoadPlan plan = fleet.Plan(seconds(5));
  plan.classes = {DockCommands(80), UnkeyedCommands(80), Lookups(200)};
  const LoadRecords records = StartLoad(plan).get();
  PrintOutcomes(plan, records);
  CheckOutcomesMatchExecutions(plan, records, fleet.standins().log());
  CHECK(CountOf(records, LoadOutcome::kCut) == 0);
}

// The platform is down and a load balancer host is killed while an endpoint
// becomes ten times slower. The other hosts must continue with the documents
// that they have, and all reported outcomes must be true.
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
