#include <doctest/doctest.h>

#include "policy/execution_time.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

TEST_CASE("transit and the wait in the endpoint's queue are excluded") {
  // Guards against a customer with long calls that gets more than its share: if
  // the same wait of 5 ms is added to its calls of 30 ms and to another
  // customer's calls of 10 ms, the costs look closer than they are.
  ExecutionTime time;
  EndpointReport report;
  report.in_flight = 6;
  report.queued = 2;
  report.slots = 6;
  Duration execution{};
  for (int n = 0; n < 2000; ++n) {
    // The call waits for half of a mean execution of 10 ms and is in transit
    // for 2 ms.
    execution = time.Estimate(milliseconds(17), milliseconds(2), report);
  }
  CHECK(execution > std::chrono::microseconds(9900));
  CHECK(execution < std::chrono::microseconds(10100));
  CHECK(time.Estimate(milliseconds(37), milliseconds(2), report) >
        milliseconds(29));
}

TEST_CASE("no call is free at an endpoint that reports an absurd queue") {
  ExecutionTime time;
  EndpointReport report;
  report.queued = 1'000'000;
  for (int n = 0; n < 100; ++n) {
    CHECK(time.Estimate(milliseconds(10), milliseconds(0), report) >=
          milliseconds(1));
  }
  CHECK(time.Estimate(milliseconds(10), milliseconds(50), {}) >=
        milliseconds(1));
}

}  // namespace
}  // namespace damasktack
