#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>

#include "tests/soak/cold_flood_run.h"
#include "tests/soak/soak_environment.h"

namespace damasktack {
namespace {

// Guards against overload of cold endpoints by all hosts together when callers
// disconnect early and suspended hosts use outdated information.
TEST_CASE("cold endpoints get at most the allowed peak rate from real hosts") {
  ColdFloodPlan plan;
  plan.seed = static_cast<std::uint64_t>(
      SoakSetting("DAMASKTACK_SOAK_FIRST", static_cast<int>(plan.seed)));
  plan.size.hosts = SoakSetting("DAMASKTACK_FLOOD_HOSTS", 24);
  plan.size.endpoints = 1;
  plan.size.cold_endpoints = SoakSetting("DAMASKTACK_FLOOD_ENDPOINTS", 6);
  plan.calls_per_second = SoakSetting("DAMASKTACK_FLOOD_CALLS", 120);
  plan.leaving_fraction =
      SoakSetting("DAMASKTACK_FLOOD_LEAVING_PERCENT", 60) / 100.0;
  plan.pausing_fraction =
      SoakSetting("DAMASKTACK_FLOOD_PAUSING_PERCENT", 33) / 100.0;
  plan.cold_phases = SoakSetting("DAMASKTACK_FLOOD_RETURNS", plan.cold_phases);
  const ColdFloodOutcome outcome = ColdFloodRun(plan).Execute();
  std::cout << "seed " << plan.seed << ": peak requests per second";
  for (const std::size_t it : outcome.peak_rates) {
    std::cout << " " << it;
  }
  std::cout << "; " << outcome.served << " of " << outcome.stayed
            << " callers that stayed were served" << std::endl;
  CHECK(outcome.served > 0);
  CHECK(std::ranges::max(outcome.peak_rates) <=
        SoakFleet::kMaxColdRequestsPerSecond);
}

}  // namespace
}  // namespace damasktack
