#include "policy/answer_times.h"

#include <doctest/doctest.h>

#include <string>

namespace damasktack {
namespace {

using std::chrono::milliseconds;

const CustomerId kRoute("route");

TEST_CASE("the usual time is the 95th percentile of the recent answers") {
  AnswerTimes times;
  // Old answers no longer count.
  for (int n = 0; n < 200; ++n) {
    times.OnAnswer(kRoute, milliseconds(5000));
  }
  for (int n = 0; n < 128; ++n) {
    times.OnAnswer(kRoute, milliseconds(100 + n));
  }
  REQUIRE(times.Of(kRoute));
  CHECK(times.Of(kRoute)->typical == milliseconds(164));
  CHECK(times.Of(kRoute)->usual == milliseconds(221));
}

TEST_CASE("a route with few answers has the times of all routes") {
  AnswerTimes times;
  CHECK_FALSE(times.Of(kRoute));
  for (int n = 0; n < 30; ++n) {
    times.OnAnswer(CustomerId("other"), milliseconds(70));
  }
  times.OnAnswer(kRoute, milliseconds(500));
  REQUIRE(times.Of(kRoute));
  CHECK(times.Of(kRoute)->typical == milliseconds(70));
}

TEST_CASE("memory is bounded for any number of routes") {
  AnswerTimes times;
  for (int n = 0; n < 1000; ++n) {
    times.OnAnswer(CustomerId("c" + std::to_string(n)), milliseconds(1));
    CHECK(times.routes() <= 256);
  }
}

}  // namespace
}  // namespace damasktack
