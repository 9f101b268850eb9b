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

TEST_CASE("repeats stay within the percentage, whatever the order") {
  // A failing service gets every call several times and cannot recover: each
  // failure costs another send. The budget caps that at the contract's part.
  const bool held = rc::check([] {
    const RetryBudgetOptions options;
    RetryBudget budget(options);
    const std::int64_t percent = *rc::gen::inRange(0, 101);
    TimePoint now = kStart;
    double sends = 0;
    double repeats = 0;
    const auto steps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 3));
    for (const int step : steps) {
      now += milliseconds(step);
      if (step == 0) {
        budget.OnFirstSend(CustomerId("a"), percent, now);
        sends += 1;
      } else if (budget.TrySpend(CustomerId("a"), percent, now)) {
        repeats += 1;
      }
    }
    const double seconds = std::chrono::duration<double>(now - kStart).count();
    const double allowed =
        1 + sends * static_cast<double>(percent) / 100 + seconds / 10;
    RC_ASSERT(repeats <= allowed + 1e-9);
    RC_ASSERT(percent > 0 || repeats == 0);
  });
  CHECK(held);
}

TEST_CASE("unspent repeats do not pile up") {
  RetryBudget budget(RetryBudgetOptions{});
  for (int n = 0; n < 100'000; ++n) {
    budget.OnFirstSend(CustomerId("a"), 100, kStart);
  }
  int repeats = 0;
  while (budget.TrySpend(CustomerId("a"), 100, kStart)) {
    ++repeats;
  }
  CHECK(repeats == 10);
}

TEST_CASE("a customer that sends little may repeat one call now and then") {
  RetryBudget budget(RetryBudgetOptions{});
  CHECK(budget.TrySpend(CustomerId("a"), 10, kStart));
  CHECK_FALSE(budget.TrySpend(CustomerId("a"), 10, kStart));
  CHECK(
      budget.TrySpend(CustomerId("a"), 10, kStart + std::chrono::seconds(10)));
}

TEST_CASE("all customers together are bound by the service's part") {
  RetryBudget budget(RetryBudgetOptions{});
  int repeats = 0;
  for (int n = 0; n < 1000; ++n) {
    const CustomerId customer("c" + std::to_string(n));
    budget.OnFirstSend(customer, 10, kStart);
    repeats += budget.TrySpend(customer, 10, kStart) ? 1 : 0;
  }
  // Each customer's own account would allow 1,000.
  CHECK(repeats <= 201);
}

TEST_CASE("where most calls fail, those that ran are not repeated") {
  // A service ten hops down fails every call. Each hop above takes its budget
  // for repeats, which add up to 2.6 times the load on what is failing.
  RetryBudget budget(RetryBudgetOptions{});
  CHECK_FALSE(budget.IsFutile(SendResult::kFailed));
  for (int n = 0; n < 100; ++n) {
    budget.OnSendEnd(SendResult::kFailed);
  }
  CHECK(budget.IsFutile(SendResult::kFailed));
  CHECK(budget.IsFutile(SendResult::kBroken));
  // The endpoint's own word that it did not run the call comes from next door.
  CHECK_FALSE(budget.IsFutile(SendResult::kShed));
  CHECK_FALSE(budget.IsFutile(SendResult::kNotConnected));
  for (int n = 0; n < 200; ++n) {
    budget.OnSendEnd(SendResult::kAnswered);
  }
  CHECK_FALSE(budget.IsFutile(SendResult::kFailed));
}

constexpr std::size_t kEndpoints = 10;

// The budgets of all hosts of a fleet that has been counted.
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

// Guards against a fleet that repeats more the more hosts it has: a part of
// the slack that is less than one repeat was rounded up by every host.
TEST_CASE("what hosts save up together stays within the fleet's slack") {
  constexpr double kSlack = 62;
  Random random(20261203);
  for (const std::size_t hosts : {13UL, 17UL, 60UL, 586UL, 1200UL}) {
    double repeats = 0;
    for (RetryBudget& budget : MakeFleet(hosts, kSlack, random)) {
      for (int n = 0; n < 1000; ++n) {
        budget.OnFirstSend(CustomerId("c" + std::to_string(n % 100)), 20,
                           kStart);
      }
      const TimePoint later = kStart + std::chrono::seconds(11);
      for (int n = 0; n < 100; ++n) {
        const CustomerId customer("c" + std::to_string(n));
        repeats += budget.TrySpend(customer, 20, later) ? 1 : 0;
      }
    }
    CAPTURE(hosts);
    CHECK(repeats <= kSlack);
    CHECK(repeats >= kSlack / 2);
  }
}

// Sends and repeats of a whole fleet, by tenths of a second.
struct FleetLoad {
  std::vector<double> sends;
  std::vector<double> repeats;

  // Of the window that ends before `end`; what comes before the start is none.
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

FleetLoad PlayRefusals(std::size_t hosts, double slack, Random& random) {
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
    // After the five seconds in which the hosts are counted.
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
        load.repeats[step] += 1;
      }
    }
  }
  return load;
}

// Guards against a storm of repeats while endpoints refuse calls, and against
// repeats that are allowed and that nobody gets.
TEST_CASE("repeats of all hosts keep the fleet's bound in every window") {
  constexpr double kPart = 0.2;
  constexpr double kSlackOfHost = 1.1;
  Random random(20261203);
  for (const std::size_t hosts : {1UL, 13UL, 60UL, 586UL, 1200UL}) {
    for (int play = 0; play < 4; ++play) {
      const double slack = kSlackOfHost * static_cast<double>(hosts) + 10;
      const FleetLoad load = PlayRefusals(hosts, slack, random);
      CAPTURE(hosts);
      for (std::ptrdiff_t end = 100; end <= 500; ++end) {
        const double sends = std::max({FleetLoad::Sum(load.sends, end),
                                       FleetLoad::Sum(load.sends, end - 50),
                                       FleetLoad::Sum(load.sends, end - 100)});
        const double repeats = FleetLoad::Sum(load.repeats, end);
        REQUIRE(repeats <= kPart * sends + slack);
      }
    }
  }
}

// Guards against callers refused for good although the fleet may repeat their
// calls: hosts with a call a second kept one repeat at most and lost the rest.
TEST_CASE("a host with few calls repeats what its calls have earned") {
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

TEST_CASE("repeats are scarce while many sends are refused unrun") {
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

TEST_CASE("memory is bounded whatever customers come") {
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
