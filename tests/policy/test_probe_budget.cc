#include "policy/probe_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <vector>

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against more load probes a second than the operator allows at the time
// when endpoints are busiest. Callers and reports come in any pattern, the list
// of hosts changes, and budget from an idle hour is unspent. So every pair of
// probes in any schedule is checked against rate * time + 1.
TEST_CASE("no interval contains more probes than the budget") {
  CHECK(rc::check("budget", [] {
    ProbeBudget budget;
    TimePoint now(seconds(5));
    const double rate = *rc::gen::inRange(1, 200);
    const std::int64_t hosts = *rc::gen::inRange(1, 20);
    budget.SetRate(rate, hosts, now);
    std::vector<TimePoint> granted;
    const auto gaps =
        *rc::gen::container<std::vector<int>>(rc::gen::weightedOneOf<int>(
            {{8, rc::gen::inRange(0, 50)}, {1, rc::gen::inRange(0, 60'000)}}));
    for (const int gap : gaps) {
      now += milliseconds(gap);
      while (budget.Take(now)) {
        granted.push_back(now);
      }
      budget.SetRate(rate, hosts, now);
    }
    const double own = rate / static_cast<double>(hosts);
    for (std::size_t from = 0; from < granted.size(); ++from) {
      for (std::size_t to = from; to < granted.size(); ++to) {
        const std::chrono::duration<double> span = granted[to] - granted[from];
        const double most = own * span.count() + 1;
        RC_ASSERT(static_cast<double>(to - from + 1) <= most + 1e-9);
      }
    }
  }));
}

// Guards against a burst of probes whenever the number of hosts alternates. If
// the time of the last probe were stored instead of the accumulated budget,
// each change to a higher rate would release a probe at once.
TEST_CASE("an alternating rate accumulates no more than its integral") {
  CHECK(rc::check("changing rate", [] {
    ProbeBudget budget;
    TimePoint now(seconds(5));
    const auto rates =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    double integral = 0;
    std::uint64_t granted = 0;
    for (const int rate : rates) {
      budget.SetRate(rate, 1, now);
      const int gap = *rc::gen::inRange(0, 200);
      now += milliseconds(gap);
      integral += rate * gap / 1000.0;
      granted += budget.Take(now) ? 1 : 0;
    }
    RC_ASSERT(static_cast<double>(granted) <= integral + 1e-9);
  }));
}

TEST_CASE("unspent budget does not accumulate, and a new budget is empty") {
  ProbeBudget budget;
  const TimePoint start(seconds(5));
  budget.SetRate(10, 1, start);
  CHECK_FALSE(budget.Take(start));
  const TimePoint much_later = start + std::chrono::hours(100);
  CHECK(budget.Take(much_later));
  CHECK_FALSE(budget.Take(much_later));
  CHECK_FALSE(budget.Take(much_later + milliseconds(99)));
  CHECK(budget.Take(much_later + milliseconds(100)));
}

TEST_CASE("a budget of zero grants no probe") {
  ProbeBudget budget;
  budget.SetRate(0, 15, TimePoint(seconds(1)));
  CHECK_FALSE(budget.Take(TimePoint(std::chrono::hours(1))));
}

}  // namespace
}  // namespace damasktack
