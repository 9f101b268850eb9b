#include "fleet/read_budget.h"

#include <doctest/doctest.h>

#include <vector>

namespace damasktack {
namespace {

// All hosts restart at once while the platform is down, and each retries as
// often as its budget allows. The load on the platform must not grow with the
// fleet.
TEST_CASE("all hosts together stay within the rate of the fleet") {
  constexpr double kRate = 100;
  constexpr int kSeconds = 20;
  for (const std::size_t hosts : {1, 15, 60, 600}) {
    std::vector<ReadBudget> budgets(hosts, ReadBudget(kRate));
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    std::size_t reads = 0;
    for (ReadBudget& it : budgets) {
      it.SetHosts(hosts, start);
      for (int ms = 0; ms < kSeconds * 1000; ms += 10) {
        const TimePoint now = start + std::chrono::milliseconds(ms);
        reads += it.Take(now) == Duration::zero() ? 1 : 0;
      }
    }
    const double bound =
        kRate * kSeconds + ReadBudget::kBurst * static_cast<double>(hosts);
    CHECK(static_cast<double>(reads) <= bound);
    CHECK(static_cast<double>(reads) >= bound * 0.9);
  }
}

TEST_CASE("the returned wait is enough for one read") {
  ReadBudget budget(2);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  while (budget.Take(now) == Duration::zero()) {
  }
  const Duration wait = budget.Take(now);
  CHECK(wait <= std::chrono::milliseconds(501));
  CHECK(budget.Take(now + wait) == Duration::zero());
}

}  // namespace
}  // namespace damasktack
