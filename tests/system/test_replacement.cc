#include <doctest/doctest.h>
#include <signal.h>

#include "tests/system/load_checks.h"
#include "tests/system/system_fleet.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

// The callers see nothing. Each entry host in turn is told to stop, goes on
// serving while the balancer still sends, finishes its calls, exits 0, and its
// successor starts empty under the same address. A host that closed while the
// balancer still sent would show as a cut call.
TEST_CASE("replacing every host under load cuts no call and doubles none") {
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

// The callers of one host see their connections die; all others see nothing.
// A host is killed with calls in flight, so nobody can tell whether those ran.
// Nothing that another host had in hand may be touched by it.
TEST_CASE("a killed host takes only its own calls with it") {
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
  // What was in flight on one host of four, and nothing after it.
  CHECK(CountOf(records, LoadOutcome::kCut) < 50);
}

}  // namespace
}  // namespace damasktack
