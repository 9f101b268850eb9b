#include <doctest/doctest.h>
#include <rapidcheck.h>

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

// A service refuses calls for seconds, and all hosts repeat at once what they
// have saved up: together that stays within the fleet's slack, however many
// they are and whatever they saved before they knew.
TEST_CASE("what hosts save up together stays within the fleet's slack") {
  for (const std::int64_t hosts : {13, 17, 60}) {
    RetryBudgetOptions options;
    options.fleet_slack = 62;
    RetryBudget budget(options);
    for (int n = 0; n < 1000; ++n) {
      budget.OnFirstSend(CustomerId("c" + std::to_string(n % 100)), 20, kStart);
    }
    budget.SetHosts(hosts);
    double repeats = 0;
    for (int n = 0; n < 100; ++n) {
      const CustomerId customer("c" + std::to_string(n));
      repeats += budget.TrySpend(customer, 20, kStart) ? 1 : 0;
    }
    CAPTURE(hosts);
    CHECK(repeats >= 1);
    CHECK(repeats * static_cast<double>(hosts) <= options.fleet_slack);
  }
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
  options.most_customers = 10;
  RetryBudget budget(options);
  for (int n = 0; n < 1000; ++n) {
    budget.OnFirstSend(CustomerId("c" + std::to_string(n)), 10, kStart);
    CHECK(budget.customers() <= 10);
  }
}

}  // namespace
}  // namespace damasktack
