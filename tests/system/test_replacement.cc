#include <doctest/doctest.h>
#include <signal.h>

#include "tests/system/load_checks.h"
#include "tests/system/system_fleet.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

// Each host in turn is told to stop. It must serve while the platform's
// balancer still sends, finish its calls and exit with 0, and its successor
// starts without data under the same address. A host that closed while the
// balancer still sent would show as an aborted call.
TEST_CASE(
    "replacing every host under load aborts no call and runs none twice") {
  SystemFleet fleet({Preset::kAlentejo, 4, 0});
  LoadPlan plan = fleet.Plan(seconds(14));
  plan.classes = {DockCommands(60), UnkeyedCommands(60), Lookups(150)};
  auto load = StartLoad(plan);
  for (std::size_t n = 0; n < fleet.size(); ++n) {
    fleet.host(n).Signal(SIGTERM);
    CHECK(fleet.host(n).Wait() == 0);
    fleet.StartHost(n);
    fleet.WaitReady(n);
  }
  const LoadRecords records = load.get();
  PrintOutcomes(plan, records);
  CheckOutcomesMatchExecutions(plan, records, fleet.standins().log());
  CHECK(CountOf(records, LoadOutcome::kCut) == 0);
  CHECK(CountOf(records, LoadOutcome::kNoEntry) == 0);
  CHECK(CountOf(records, LoadOutcome::kFailed) == 0);
}

// A host is killed with calls in flight, for which nobody can tell whether they
// ran. Callers of this host lose their connections; calls on other hosts must
// not be affected.
TEST_CASE("a killed host affects only its own calls") {
  SystemFleet fleet({Preset::kAlentejo, 4, 0});
  LoadPlan plan = fleet.Plan(seconds(6));
  plan.classes = {DockCommands(150), UnkeyedCommands(60), Lookups(150)};
  auto load = StartLoad(plan);
  WaitUntil("calls run", [&] { return fleet.standins().log().total() > 300; });
  fleet.host(1).Signal(SIGKILL);
  CHECK(fleet.host(1).Wait() == -SIGKILL);
  const LoadRecords records = load.get();
  PrintOutcomes(plan, records);
  CheckOutcomesMatchExecutions(plan, records, fleet.standins().log());
  CHECK(CountOf(records, LoadOutcome::kNoEntry) == 0);
  // Only the calls in flight on one of four hosts may be aborted.
  CHECK(CountOf(records, LoadOutcome::kCut) < 50);
}

}  // namespace
}  // namespace damasktack
