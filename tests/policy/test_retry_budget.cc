#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "core/random.h"
#include "policy/retry_budget.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

TEST_CASE("retries stay within the percentage in any order of events") {
  // Guards against a failing service that receives every call several times and
  // cannot recover, since each failure causes another send. The budget limits
  // retries to the percentage in the contract.
  const bool held = rc::check([] {
    const RetryBudgetOptions options;
    RetryBudget budget(options);
    const std::int64_t percent = *rc::gen::inRange(0, 101);
    TimePoint now = kStart;
    double sends = 0;
    double retries = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 3));
    for (const int step : steps) {
      now += milliseconds(step);
      if (step == 0) {
        budget.OnFirstSend(CustomerId("a"), percent, now);
        sends += 1;
      } else if (budget.TrySpend(CustomerId("a"), percent, now)) {
        retries += 1;
      }
    }
    const double seconds = std::chrono::duration<double>(now - kStart).count();
    const double allowed =
        1 + sends * static_cast<double>(percent) / 100 + seconds / 10;
    RC_ASSERT(retries <= allowed + 1e-9);
    RC_ASSERT(percent > 0 || retries == 0);
  });
  CHECK(held);
}

TEST_CASE("unspent retries are capped") {
  RetryBudget budget(RetryBudgetOptions{});
  for (int n = 0; n < 100'000; ++n) {
    budget.OnFirstSend(CustomerId("a"), 100, kStart);
  }
  int retries = 0;
  while (budget.TrySpend(CustomerId("a"), 100, kStart)) {
    ++retries;
  }
  CHECK(retries == 10);
}

TEST_CASE("a customer with little traffic may retry one call now and then") {
  RetryBudget budget(RetryBudgetOptions{});
  CHECK(budget.TrySpend(CustomerId("a"), 10, kStart));
  CHECK_FALSE(budget.TrySpend(CustomerId("a"), 10, kStart));
  CHECK(
      budget.TrySpend(CustomerId("a"), 10, kStart + std::chrono::seconds(10)));
}

TEST_CASE("the limit of the service applies to all customers together") {
  RetryBudget budget(RetryBudgetOptions{});
  int retries = 0;
  for (int n = 0; n < 1000; ++n) {
    const CustomerId customer("c" + std::to_string(n));
    budget.OnFirstSend(customer, 10, kStart);
    retries += budget.TrySpend(customer, 10, kStart) ? 1 : 0;
  }
  // The customers' own budgets would allow 1,000.
  CHECK(retries <= 201);
}

TEST_CASE("calls that ran are not retried while most calls fail") {
  // Guards against retries by every hop above a service that fails all calls,
  // ten hops down: their budgets add up to 2.6 times the load on the failing
  // service.
  RetryBudget budget(RetryBudgetOptions{});
  CHECK_FALSE(budget.IsFutile(SendResult::kFailed));
  for (int n = 0; n < 100; ++n) {
    budget.OnSendEnd(SendResult::kFailed);
  }
  CHECK(budget.IsFutile(SendResult::kFailed));
  CHECK(budget.IsFutile(SendResult::kBroken));
  // The endpoint itself states that it did not run the call, so this hop is the
  // nearest to the failure.
  CHECK_FALSE(budget.IsFutile(SendResult::kShed));
  CHECK_FALSE(budget.IsFutile(SendResult::kNotConnected));
  for (int n = 0; n < 200; ++n) {
    budget.OnSendEnd(SendResult::kAnswered);
  }
  CHECK_FALSE(budget.IsFutile(SendResult::kFailed));
}

constexpr std::size_t kEndpoints = 10;

// Returns the budgets of all hosts of a fleet whose size is known.
std::vector<RetryBudget> MakeFleet(std::size_t hosts,
                                   double slack,
                                   Random& random) {
  RetryBudgetOptions options;
  options.service_percent = 18;
  options.fleet_slack = slack;
  std::vector<RetryBudget> fleet;
  for (std::size_t n = 0; n < hosts; ++n) {
    constexpr std::uint32_t kSteps = 1000;
    fleet.emplace_back(
        options, static_cast<double>(UniformBelow(random, kSteps)) / kSteps);
    fleet.back().SetFleet(static_cast<std::int64_t>(hosts), kEndpoints, kStart);
  }
  return fleet;
}

// Guards against a fleet whose retries grow with the number of hosts: every
// host rounded up a share of the slack that is less than one retry.
TEST_CASE(
    "the slack used by all hosts together stays within the fleet's limit") {
  constexpr double kSlack = 62;
  Random random(20261203);
  for (const std::size_t hosts : {13UL, 17UL, 60UL, 586UL, 1200UL}) {
    double retries = 0;
    for (RetryBudget& budget : MakeFleet(hosts, kSlack, random)) {
      for (int n = 0; n < 1000; ++n) {
        budget.OnFirstSend(CustomerId("c" + std::to_string(n % 100)), 20,
                           kStart);
      }
      const TimePoint later = kStart + std::chrono::seconds(11);
      for (int n = 0; n < 100; ++n) {
        const CustomerId customer("c" + std::to_string(n));
        retries += budget.TrySpend(customer, 20, later) ? 1 : 0;
      }
    }
    CAPTURE(hosts);
    CHECK(retries <= kSlack);
    CHECK(retries >= kSlack / 2);
  }
}

// Sends and retries of a whole fleet, in steps of a tenth of a second.
struct FleetLoad {
  std::vector<double> sends;
  std::vector<double> retries;

  // Returns the sum over the window that ends before `end`; steps before the
  // start count as zero.
  static double Sum(const std::vector<double>& by_step, std::ptrdiff_t end) {
    constexpr std::ptrdiff_t kWindowSteps = 100;
    double sum = 0;
    for (std::ptrdiff_t n = std::max<std::ptrdiff_t>(end - kWindowSteps, 0);
         n < end; ++n) {
      sum += by_step[static_cast<std::size_t>(n)];
    }
    return sum;
  }
};

FleetLoad SimulateRefusals(std::size_t hosts, double slack, Random& random) {
  constexpr std::size_t kSteps = 500;
  constexpr std::uint32_t kWhole = 1000;
  const CustomerId customer("c");
  std::vector<RetryBudget> fleet = MakeFleet(hosts, slack, random);
  FleetLoad load{std::vector<double>(kSteps), std::vector<double>(kSteps)};
  std::uint32_t rate = 0;
  std::uint32_t refused = 0;
  for (std::size_t step = 0; step < kSteps; ++step) {
    if (step % 70 == 0) {
      rate = UniformBelow(random, 400);
      refused = UniformBelow(random, kWhole);
    }
    // After the five seconds in which hosts learn the size of the fleet.
    const TimePoint now =
        kStart + std::chrono::seconds(6) + step * milliseconds(100);
    for (RetryBudget& budget : fleet) {
      if (UniformBelow(random, kWhole) >= rate) {
        continue;
      }
      budget.OnFirstSend(customer, 100, now);
      load.sends[step] += 1;
      while (UniformBelow(random, kWhole) < refused &&
             budget.TrySpend(customer, 100, now)) {
        load.retries[step] += 1;
      }
    }
  }
  return load;
}

// Guards against too many retries while endpoints refuse calls.
TEST_CASE(
    "retries of all hosts stay within the fleet's limit in every window") {
  constexpr double kPart = 0.2;
  constexpr double kSlackOfHost = 1.1;
  Random random(20261203);
  for (const std::size_t hosts : {1UL, 13UL, 60UL, 586UL, 1200UL}) {
    for (int run = 0; run < 4; ++run) {
      const double slack = kSlackOfHost * static_cast<double>(hosts) + 10;
      const FleetLoad load = SimulateRefusals(hosts, slack, random);
      CAPTURE(hosts);
      for (std::ptrdiff_t end = 100; end <= 500; ++end) {
        const double sends = std::max({FleetLoad::Sum(load.sends, end),
                                       FleetLoad::Sum(load.sends, end - 50),
                                       FleetLoad::Sum(load.sends, end - 100)});
        const double retries = FleetLoad::Sum(load.retries, end);
        REQUIRE(retries <= kPart * sends + slack);
      }
    }
  }
}

// Guards against second sends that use up the retries of a fleet, also while a
// third of the hosts receives no messages and counts only itself.
TEST_CASE("hedges of all hosts stay within their share and leave retries") {
  constexpr HedgeShare kShare{0.08, 0.25};
  constexpr std::size_t kSteps = 250;
  constexpr std::uint32_t kWhole = 1000;
  const CustomerId customer("c");
  Random random(20261204);
  for (const std::size_t hosts : {1UL, 48UL, 93UL, 300UL}) {
    constexpr double kSlack = 156;
    std::vector<RetryBudget> fleet = MakeFleet(hosts, kSlack, random);
    const TimePoint start = kStart + std::chrono::seconds(6);
    for (std::size_t n = 0; n < hosts / 3; ++n) {
      fleet[n].SetFleet(1, kEndpoints, start);
    }
    FleetLoad load{std::vector<double>(kSteps), std::vector<double>(kSteps)};
    double hedges = 0;
    for (std::size_t step = 0; step < kSteps; ++step) {
      const TimePoint now = start + step * milliseconds(100);
      for (RetryBudget& budget : fleet) {
        if (UniformBelow(random, kWhole) < 300) {
          budget.OnFirstSend(customer, 100, now);
          load.sends[step] += 1;
        }
        while (budget.TrySpendOnHedge(customer, 100, kShare, now)) {
          load.retries[step] += 1;
          hedges += 1;
        }
        if (step % 100 == 99) {
          // The reserve.
          CHECK(budget.TrySpend(customer, 100, now));
          load.retries[step] += 1;
        }
      }
    }
    CAPTURE(hosts);
    const double sends =
        FleetLoad::Sum(load.sends, 100) + FleetLoad::Sum(load.sends, 200);
    CHECK(hedges >= 0.06 * sends);
    CHECK(hedges <= 0.09 * sends * kSteps / 200);
    for (std::ptrdiff_t end = 100; end <= static_cast<std::ptrdiff_t>(kSteps);
         ++end) {
      REQUIRE(FleetLoad::Sum(load.retries, end) <=
              0.2 * FleetLoad::Sum(load.sends, end) + kSlack);
    }
  }
}

// Guards against callers that are refused although the fleet could retry their
// calls: hosts with one call a second kept at most one retry and lost the rest.
TEST_CASE("a host with few calls can use the retries that they earned") {
  RetryBudgetOptions options;
  options.service_percent = 20;
  options.fleet_slack = 640;
  RetryBudget budget(options, 0);
  budget.SetFleet(1200, kEndpoints, kStart);
  const CustomerId customer("c");
  TimePoint now = kStart + std::chrono::seconds(6);
  for (int n = 0; n < 10; ++n) {
    now += std::chrono::seconds(1) - milliseconds(60);
    budget.OnFirstSend(customer, 100, now);
  }
  CHECK(budget.TrySpend(customer, 100, now));
  CHECK(budget.TrySpend(customer, 100, now));
  CHECK_FALSE(budget.TrySpend(customer, 100, now));
}

TEST_CASE("retries are scarce while many sends are refused without execution") {
  RetryBudget budget(RetryBudgetOptions{});
  for (int n = 0; n < 30; ++n) {
    budget.OnSendEnd(SendResult::kFailed);
  }
  CHECK_FALSE(budget.AreScarce());
  for (int n = 0; n < 4; ++n) {
    budget.OnSendEnd(SendResult::kShed);
  }
  CHECK(budget.AreScarce());
  for (int n = 0; n < 10; ++n) {
    budget.OnSendEnd(SendResult::kAnswered);
  }
  CHECK_FALSE(budget.AreScarce());
}

TEST_CASE("memory is bounded for any number of customers") {
  RetryBudgetOptions options;
  options.max_customers = 10;
  RetryBudget budget(options);
  for (int n = 0; n < 1000; ++n) {
    budget.OnFirstSend(CustomerId("c" + std::to_string(n)), 10, kStart);
    CHECK(budget.customers() <= 10);
  }
}

}  // namespace
}  // namespace damasktack
