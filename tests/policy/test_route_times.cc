#include "policy/route_times.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

// Guards against placements by the usual time of a service whose routes differ.
TEST_CASE("the factor of a route follows its median") {
  RouteTimes times;
  const CustomerId route("long");
  CHECK(times.FactorOf(route) == 1);
  for (int n = 0; n < 40; ++n) {
    // Three executions in a hundred take seven times as long.
    times.Learn(route, n == 20 ? 21 : 3);
    times.Learn(CustomerId("short"), 0.4);
  }
  CHECK(times.FactorOf(route) == doctest::Approx(3).epsilon(0.1));
  CHECK(times.FactorOf(CustomerId("short")) ==
        doctest::Approx(0.4).epsilon(0.1));
}

}  // namespace
}  // namespace damasktack
