#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

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

int FromEnvironment(const char* name, int otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::atoi(text);
}

// Hosts are killed, stopped, paused and restarted, links fail, the store
// refuses and forgets, endpoints drain and pass their addresses on, versions
// follow each other, all at random and overlapping. Callers hold what they are
// told against what ran, and each host against the versions that it has served.
TEST_CASE("promises hold under random faults") {
  const int first = FromEnvironment("DAMASKTACK_SOAK_FIRST", 1);
  const int last = FromEnvironment("DAMASKTACK_SOAK_LAST", 2);
  SoakPlan plan;
  plan.trouble =
      std::chrono::seconds(FromEnvironment("DAMASKTACK_SOAK_SECONDS", 6));
  plan.size.hosts = FromEnvironment("DAMASKTACK_SOAK_HOSTS", plan.size.hosts);
  for (int seed = first; seed <= last; ++seed) {
    plan.seed = static_cast<std::uint64_t>(seed);
    Check(plan);
  }
}

}  // namespace
}  // namespace damasktack
