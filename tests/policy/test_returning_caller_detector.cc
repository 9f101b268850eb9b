#include "policy/returning_caller_detector.h"

#include <doctest/doctest.h>

#include <string>

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
const CustomerId kRoute("r");

TEST_CASE("who comes back has less time than others of the route") {
  ReturningCallerDetector times;
  CHECK(!times.IsReturning(kRoute, seconds(1)));
  times.Note(kRoute, seconds(2), kStart);
  times.Note(kRoute, milliseconds(1950), kStart);
  CHECK(times.IsReturning(kRoute, milliseconds(1950)));
  CHECK(!times.IsReturning(kRoute, milliseconds(1995)));
  CHECK(!times.IsReturning(CustomerId("other"), milliseconds(1950)));
}

// Callers of a route are taken for returned ones for ever: its clients have
// come to allow less time, and the time of before is still the longest.
TEST_CASE("a route whose callers allow less is learnt anew") {
  ReturningCallerDetector times;
  times.Note(kRoute, seconds(2), kStart);
  for (int n = 0; n < 60; ++n) {
    times.Note(kRoute, seconds(1), kStart + seconds(n));
  }
  CHECK(!times.IsReturning(kRoute, seconds(1)));
}

TEST_CASE("routes without end do not fill the memory") {
  ReturningCallerDetector times;
  for (int n = 0; n < 10'000; ++n) {
    times.Note(CustomerId(std::to_string(n)), seconds(1), kStart);
  }
  CHECK(times.routes() <= 4096);
}

}  // namespace
}  // namespace damasktack
