#include <doctest/doctest.h>

#include <iostream>
#include <sstream>

#include "tests/soak/soak_environment.h"
#include "tests/soak/soak_run.h"

namespace damasktack {
namespace {

void Check(const SoakPlan& plan) {
  CAPTURE(plan.seed);
  const SoakOutcome outcome = SoakRun(plan).Execute();
  std::cout << "seed " << plan.seed << ": " << outcome.faults << " faults, "
            << outcome.served << " of " << outcome.calls << " served, "
            << outcome.violations.size() << " violations" << std::endl;
  for (const std::string& it : outcome.violations) {
    std::cout << "  " << it << std::endl;
  }
  CHECK(outcome.violations.empty());
}

// Injects random, overlapping faults: hosts are killed, stopped, suspended and
// restarted, links fail, hosts are partitioned from all endpoints, the store
// rejects requests, drops its history and returns from older copies, endpoints
// drain and are replaced at the same address, and new configuration
// versions are published. Checks the responses against the executed requests,
// and that no host goes back to an older version.
TEST_CASE("promises hold under random faults") {
  const int first = SoakSetting("DAMASKTACK_SOAK_FIRST", 1);
  const int last = SoakSetting("DAMASKTACK_SOAK_LAST", 2);
  SoakPlan plan;
  plan.fault_phase =
      std::chrono::seconds(SoakSetting("DAMASKTACK_SOAK_SECONDS", 6));
  plan.size.hosts = SoakSetting("DAMASKTACK_SOAK_HOSTS", plan.size.hosts);
  for (int seed = first; seed <= last; ++seed) {
    plan.seed = static_cast<std::uint64_t>(seed);
    Check(plan);
  }
}

}  // namespace
}  // namespace damasktack
