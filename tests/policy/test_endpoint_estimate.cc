#include "policy/endpoint_estimate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr double kSlots = 6;
const TimePoint kStart{std::chrono::seconds(10)};
const LoadPrior kPrior{0.5, 1, milliseconds(10)};

EndpointReport ReportOf(std::int32_t in_flight) {
  EndpointReport report;
  report.in_flight = in_flight;
  report.slots = 6;
  return report;
}

TEST_CASE("without a report the estimate is the prior plus the own calls") {
  EndpointEstimate estimate;
  CHECK(estimate.Calls(kPrior, kSlots, kStart) == doctest::Approx(3));
  estimate.OnSend();
  CHECK(estimate.Calls(kPrior, kSlots, kStart) == doctest::Approx(4));
}

TEST_CASE("own sends since a fresh report are added to it") {
  EndpointEstimate estimate;
  estimate.OnSend();
  estimate.OnReport(ReportOf(5), kStart);
  CHECK(estimate.Calls(kPrior, kSlots, kStart) == doctest::Approx(5));
  estimate.OnSend();
  CHECK(estimate.Calls(kPrior, kSlots, kStart) == doctest::Approx(6));
  estimate.OnEnd();
  estimate.OnEnd();
  CHECK(estimate.Calls(kPrior, kSlots, kStart) == doctest::Approx(4));
}

TEST_CASE("an old report decays towards the prior") {
  EndpointEstimate estimate;
  estimate.OnReport(ReportOf(0), kStart);
  const TimePoint later = kStart + std::chrono::seconds(5);
  CHECK(estimate.Calls(kPrior, kSlots, later) ==
        doctest::Approx(3).epsilon(0.01));
}

// Guards against slow answers from one endpoint to which all hosts send their
// calls. Its report stays at 0 under any load and arrives anew with each
// answer, so a report that repeats itself must age nevertheless.
TEST_CASE("a frozen low report loses its weight") {
  EndpointEstimate estimate;
  TimePoint now = kStart;
  for (int n = 0; n < 50; ++n) {
    estimate.OnReport(ReportOf(0), now);
    now += milliseconds(20);
  }
  CHECK(estimate.Calls(kPrior, kSlots, now) > 2.9);
  CHECK(estimate.ReportAge(now) == milliseconds(20));
}

TEST_CASE("a shed means that the endpoint is full, whatever it reports") {
  EndpointEstimate estimate;
  estimate.OnReport(ReportOf(0), kStart);
  estimate.OnShed(kSlots, kStart);
  CHECK(estimate.Calls(kPrior, kSlots, kStart) >= kSlots);
}

TEST_CASE("the estimate is never below the own calls") {
  CHECK(rc::check("own calls", [] {
    EndpointEstimate estimate;
    TimePoint now = kStart;
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(-20, 40));
    for (const int step : steps) {
      now += milliseconds(*rc::gen::inRange(0, 30));
      if (step < -10) {
        estimate.OnSend();
      } else if (step < 0 && estimate.own_in_flight() > 0) {
        estimate.OnEnd();
      } else if (step >= 0) {
        estimate.OnReport(ReportOf(step), now);
      }
      RC_ASSERT(estimate.Calls(kPrior, kSlots, now) >=
                estimate.own_in_flight() - 1e-9);
    }
  }));
}

}  // namespace
}  // namespace damasktack
