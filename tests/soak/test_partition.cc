#include <doctest/doctest.h>

#include <iostream>
#include <string>

#include "tests/soak/partition_run.h"

namespace damasktack {
namespace {

void Print(const std::string& what, const ServedCalls& calls) {
  std::cout << what << " " << calls.served << " of " << calls.sent << " served";
}

// Callers of the hosts that are cut off must be served at least two thirds as
// often as those of the others, and again normally after the partition.
void Check(const PartitionPlan& plan) {
  const PartitionOutcome outcome = PartitionRun(plan).Execute();
  Print("cut hosts:", outcome.at_cut_hosts);
  Print(", others:", outcome.at_others);
  Print(", after the partition:", outcome.after);
  std::cout << ", " << outcome.violations.size() << " violations" << std::endl;
  for (const std::string& it : outcome.violations) {
    std::cout << "  " << it << std::endl;
  }
  CHECK(outcome.at_cut_hosts.sent > 0);
  CHECK(3 * outcome.at_cut_hosts.fraction() >=
        2 * outcome.at_others.fraction());
  CHECK(outcome.at_others.fraction() >= 0.9);
  CHECK(outcome.after.fraction() >= 0.9);
  CHECK(outcome.violations.empty());
}

// Guards against hosts that fail their callers because they are partitioned
// from all endpoints, although other hosts reach both.
TEST_CASE("callers of hosts partitioned from all endpoints are served") {
  PartitionPlan plan;
  SUBCASE("connections hang") {
    plan.partition = Partition::kHang;
  }
  SUBCASE("connections are reset") {
    plan.partition = Partition::kReset;
  }
  SUBCASE("new connections are refused") {
    plan.partition = Partition::kRefuseNew;
  }
  Check(plan);
}

}  // namespace
}  // namespace damasktack
