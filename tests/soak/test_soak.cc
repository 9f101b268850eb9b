#include <doctest/doctest.h>

#include <iostream>
#include <sstream>

#include "tests/soak/soak_environment.h"
#include "tests/soak/soak_run.h"

namespace damasktack {
namespace {

void Check(const SoakPlan& plan) {
  CAPTURE(plan.seed);
  const SoakOutcome outcome = SoakRun(plan).Play();
  std::cout << "seed " << plan.seed << ": " << outcome.faults << " faults, "
            << outcome.served << " of " << outcome.calls << " served, "
            << outcome.violations.size() << " violations" << std::endl;
  for (const std::string& it : outcome.violations) {
    std::cout << "  " << it << std::endl;
  }
  CHECK(outcome.violations.empty());
}

// Hosts are killed, stopped, paused and restarted, links fail, the store
// refuses and forgets, endpoints drain and pass their addresses on, versions
// follow each other, all at random and overlapping. Callers hold what they are
// told against what ran, and each host against the versions that it has served.
TEST_CASE("promises hold under random faults") {
  const int first = SoakSetting("DAMASKTACK_SOAK_FIRST", 1);
  const int last = SoakSetting("DAMASKTACK_SOAK_LAST", 2);
  SoakPlan plan;
  plan.trouble =
      std::chrono::seconds(SoakSetting("DAMASKTACK_SOAK_SECONDS", 6));
  plan.size.hosts = SoakSetting("DAMASKTACK_SOAK_HOSTS", plan.size.hosts);
  for (int seed = first; seed <= last; ++seed) {
    plan.seed = static_cast<std::uint64_t>(seed);
    Check(plan);
  }
}

}  // namespace
}  // namespace damasktack
