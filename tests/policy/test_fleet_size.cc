#include "policy/fleet_size.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::size_t kEndpoints = 15;

// Guards against hosts that start together and each take a large share of what
// endpoints tolerate.
TEST_CASE("a starting host assumes as many hosts as endpoints") {
  FleetSize size;
  size.Set(1, kEndpoints, kStart);
  CHECK(size.Count(kStart) == kEndpoints);
  size.Set(17, kEndpoints, kStart + seconds(1));
  CHECK(size.Count(kStart + seconds(1)) == 17);
  CHECK(size.Count(kStart + seconds(6)) == 17);
}

// Guards against a host that is cut off from its peers and takes over their
// shares.
TEST_CASE("a smaller count of hosts applies only after a delay") {
  FleetSize size;
  size.Set(17, kEndpoints, kStart);
  const TimePoint cut = kStart + seconds(60);
  size.Set(3, kEndpoints, cut);
  size.Set(1, kEndpoints, cut + seconds(1));
  CHECK(size.Count(cut + seconds(29)) == 17);
  CHECK(size.Count(cut + seconds(31)) == 1);
}

TEST_CASE("a larger count of hosts applies at once") {
  FleetSize size;
  size.Set(17, kEndpoints, kStart);
  size.Set(40, kEndpoints, kStart + seconds(60));
  CHECK(size.Count(kStart + seconds(60)) == 40);
}

}  // namespace
}  // namespace damasktack
