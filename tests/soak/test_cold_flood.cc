#include <doctest/doctest.h>

#include <algorithm>
#include <iostream>

#include "tests/soak/cold_flood_run.h"
#include "tests/soak/soak_environment.h"

namespace damasktack {
namespace {

// Guards against cold endpoints that are flooded by all hosts together where
// callers leave early and hosts go by views that are old.
TEST_CASE("cold endpoints get no more than they bear from real hosts") {
  ColdFloodPlan plan;
  plan.seed = static_cast<std::uint64_t>(
      SoakSetting("DAMASKTACK_SOAK_FIRST", static_cast<int>(plan.seed)));
  plan.size.hosts = SoakSetting("DAMASKTACK_FLOOD_HOSTS", 24);
  plan.size.endpoints = 1;
  plan.size.cold_endpoints = SoakSetting("DAMASKTACK_FLOOD_ENDPOINTS", 6);
  plan.calls_per_second = SoakSetting("DAMASKTACK_FLOOD_CALLS", 120);
  plan.leaving_part =
      SoakSetting("DAMASKTACK_FLOOD_LEAVING_PERCENT", 60) / 100.0;
  plan.pausing_part =
      SoakSetting("DAMASKTACK_FLOOD_PAUSING_PERCENT", 33) / 100.0;
  plan.returns = SoakSetting("DAMASKTACK_FLOOD_RETURNS", plan.returns);
  const ColdFloodOutcome outcome = ColdFloodRun(plan).Play();
  std::cout << "seed " << plan.seed << ": worst seconds";
  for (const std::size_t it : outcome.worst_seconds) {
    std::cout << " " << it;
  }
  std::cout << "; " << outcome.served << " of " << outcome.stayed
            << " served that stayed" << std::endl;
  CHECK(outcome.served > 0);
  CHECK(std::ranges::max(outcome.worst_seconds) <=
        SoakFleet::kMostInColdSecond);
}

}  // namespace
}  // namespace damasktack
