#include "policy/returning_caller_detector.h"

#include <doctest/doctest.h>

#include <string>

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const CustomerId kRoute("r");

TEST_CASE("returning callers have less time than others of the route") {
  ReturningCallerDetector times;
  CHECK(!times.IsReturning(kRoute, seconds(1)));
  times.Record(kRoute, seconds(2), kStart);
  times.Record(kRoute, milliseconds(1950), kStart);
  CHECK(times.IsReturning(kRoute, milliseconds(1950)));
  CHECK(!times.IsReturning(kRoute, milliseconds(1995)));
  CHECK(!times.IsReturning(CustomerId("other"), milliseconds(1950)));
}

// Guards against callers that count as returning for good because the clients
// of the route now allow less time and the previous maximum is still in use.
TEST_CASE("a route adapts when its callers allow less time") {
  ReturningCallerDetector times;
  times.Record(kRoute, seconds(2), kStart);
  for (int n = 0; n < 60; ++n) {
    times.Record(kRoute, seconds(1), kStart + seconds(n));
  }
  CHECK(!times.IsReturning(kRoute, seconds(1)));
}

TEST_CASE("the number of remembered routes is bounded") {
  ReturningCallerDetector times;
  for (int n = 0; n < 10'000; ++n) {
    times.Record(CustomerId(std::to_string(n)), seconds(1), kStart);
  }
  CHECK(times.routes() <= 4096);
}

}  // namespace
}  // namespace damasktack
