#include "fleet/host_number_allocator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <string>

#include "policy/host_quota.h"
#include "tests/fleet/feed_simulation.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr std::int64_t kSeeds = 3;
// Quota units of each endpoint, shared by all hosts.
constexpr int kQuotaUnits = 5;

HostNumberAllocator MakeSeed(std::int64_t rank) {
  HostNumberAllocator seed;
  seed.SetRank(rank, kSeeds);
  return seed;
}

HostId HostOf(int n) {
  return HostId("h" + std::to_string(n));
}

TEST_CASE("no two followers of seeds have the same number") {
  std::map<std::int64_t, int> holders;
  for (std::int64_t rank = 0; rank < kSeeds; ++rank) {
    HostNumberAllocator seed = MakeSeed(rank);
    for (int n = 0; n < 40; ++n) {
      const HostNumber host_number =
          seed.AssignNumber(HostOf(n), HostNumber(), 40, kStart);
      CHECK(host_number.number < host_number.number_count);
      ++holders[host_number.number];
    }
    ++holders[seed.OwnNumber(kStart).number];
  }
  CHECK(holders.size() == 41 * kSeeds);
}

// Guards against two hosts that use the same quota units while one of them is
// cut off from its seed.
TEST_CASE("a number is reassigned only after its lease has expired") {
  HostNumberAllocator seed = MakeSeed(0);
  HostNumberAllocator host;
  const HostNumber host_number =
      seed.AssignNumber(HostOf(1), HostNumber(), 0, kStart);
  host.OnNumberAssigned(HostOf(0), host_number);
  host.OnLinkDown(HostOf(0), kStart);
  for (TimePoint now = kStart; now < kStart + seconds(100); now += seconds(1)) {
    const HostNumber other = seed.AssignNumber(
        HostId("new" + std::to_string(now.time_since_epoch().count())),
        HostNumber(), 0, now);
    CHECK((host.OwnNumber(now).number != other.number ||
           other.number == HostNumber::kNone));
  }
  CHECK(!host.OwnNumber(kStart + seconds(100)).IsKnown());
}

TEST_CASE("a link restored within the lease keeps the number") {
  HostNumberAllocator host;
  host.OnNumberAssigned(HostOf(0), {4, 8});
  host.OnLinkDown(HostOf(0), kStart);
  host.OnLinkUp(HostOf(0));
  CHECK(host.OwnNumber(kStart + seconds(100)).number == 4);
}

TEST_CASE("a restarted seed adopts the numbers of its followers") {
  HostNumberAllocator before = MakeSeed(1);
  std::map<int, HostNumber> numbers;
  for (int n = 0; n < 20; ++n) {
    numbers[n] = before.AssignNumber(HostOf(n), HostNumber(), 20, kStart);
  }
  HostNumberAllocator after = MakeSeed(1);
  for (int n = 19; n >= 0; --n) {
    CHECK(after.AssignNumber(HostOf(n), numbers[n], 20, kStart).number ==
          numbers[n].number);
  }
  const HostNumber other =
      after.AssignNumber(HostOf(99), numbers[3], 20, kStart);
  CHECK(other.number != numbers[3].number);
}

TEST_CASE("a claimed number out of range is not adopted") {
  HostNumberAllocator seed = MakeSeed(0);
  const HostNumber host_number = seed.AssignNumber(
      HostOf(1), {kSeeds * 1'000'000'000, 1}, 1'000'000'000, kStart);
  CHECK(host_number.number == kSeeds);
  CHECK(host_number.number_count <= 1 << 14);
}

// Returns the largest number of quota units of any endpoint that the hosts use
// in total.
int MaxUnitsUsed(FeedSimulation& world) {
  constexpr int kEndpoints = 10;
  int most = 0;
  for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    int used = 0;
    for (const auto& [name, host] : world.hosts()) {
      HostQuota own;
      if (host.is_up) {
        own.Draw(EndpointId("e" + std::to_string(endpoint)), kQuotaUnits,
                 host.feed->OwnHostNumber(world.now()));
      }
      used += own.own();
    }
    most = std::max(most, used);
  }
  return most;
}

void DisruptHost(FeedSimulation& world, const std::string& name) {
  const FeedSimulation::Host& host = world.hosts().at(name);
  if (!host.is_up) {
    world.Start(name);
  } else if (*rc::gen::inRange(0, 3) == 0) {
    world.Kill(name);
  } else {
    world.Freeze(name, !host.is_frozen);
  }
}

// Guards against quota units that are used by many hosts while seeds and hosts
// stop, start and freeze, which would multiply the load on a cold endpoint.
TEST_CASE("at most two hosts use a quota unit under any disruption") {
  CHECK(rc::check("seats", [] {
    const int count = *rc::gen::inRange(4, 30);
    FeedSimulation world(count, kSeeds);
    world.UseCodec();
    for (int step = 0; step < 40; ++step) {
      DisruptHost(world, "h" + std::to_string(*rc::gen::inRange(0, count)));
      for (int n = 0; n < 10; ++n) {
        world.Run(milliseconds(30));
        RC_ASSERT(MaxUnitsUsed(world) <= 2 * kQuotaUnits);
      }
    }
    for (auto& [name, host] : world.hosts()) {
      if (!host.is_up) {
        world.Start(name);
      }
      world.Freeze(name, false);
    }
    world.Run(seconds(10));
    RC_ASSERT(MaxUnitsUsed(world) <= kQuotaUnits);
    for (const auto& [name, host] : world.hosts()) {
      RC_ASSERT(host.feed->OwnHostNumber(world.now()).IsKnown());
    }
  }));
}

}  // namespace
}  // namespace damasktack
