#include "policy/fleet_size.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kEndpoints = 15;

// Guards against hosts that start together and each take a large part of what
// endpoints bear.
TEST_CASE("a host that starts counts as many hosts as endpoints") {
  FleetSize size;
  size.Set(1, kEndpoints, kStart);
  CHECK(size.Count(kStart) == kEndpoints);
  size.Set(17, kEndpoints, kStart + seconds(1));
  CHECK(size.Count(kStart + seconds(1)) == 17);
  CHECK(size.Count(kStart + seconds(6)) == 17);
}

// Guards against a host that is cut off from its peers and takes their parts.
TEST_CASE(
    "a fleet that seems to shrink counts as large as before for a while") {
  FleetSize size;
  size.Set(17, kEndpoints, kStart);
  const TimePoint cut = kStart + seconds(60);
  size.Set(3, kEndpoints, cut);
  size.Set(1, kEndpoints, cut + seconds(1));
  CHECK(size.Count(cut + seconds(29)) == 17);
  CHECK(size.Count(cut + seconds(31)) == 1);
}

TEST_CASE("a fleet that grows counts at once") {
  FleetSize size;
  size.Set(17, kEndpoints, kStart);
  size.Set(40, kEndpoints, kStart + seconds(60));
  CHECK(size.Count(kStart + seconds(60)) == 40);
}

}  // namespace
}  // namespace damasktack
