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
// At each endpoint, of all hosts.
constexpr int kTurns = 5;

HostNumberAllocator MakeSeed(std::int64_t rank) {
  HostNumberAllocator seed;
  seed.SetRank(rank, kSeeds);
  return seed;
}

HostId HostOf(int n) {
  return HostId("h" + std::to_string(n));
}

TEST_CASE("no two hosts that follow seeds have the same number") {
  std::map<std::int64_t, int> holders;
  for (std::int64_t rank = 0; rank < kSeeds; ++rank) {
    HostNumberAllocator seed = MakeSeed(rank);
    for (int n = 0; n < 40; ++n) {
      const HostNumber seat = seed.SeatOf(HostOf(n), HostNumber(), 40, kStart);
      CHECK(seat.number < seat.seats);
      ++holders[seat.number];
    }
    ++holders[seed.Own(kStart).number];
  }
  CHECK(holders.size() == 41 * kSeeds);
}

// Guards against two hosts that take the same turns for as long as one of them
// is cut off from its seed.
TEST_CASE("a number passes to another host after its own has let it go") {
  HostNumberAllocator seed = MakeSeed(0);
  HostNumberAllocator host;
  const HostNumber seat = seed.SeatOf(HostOf(1), HostNumber(), 0, kStart);
  host.OnSeat(HostOf(0), seat);
  host.OnLinkDown(HostOf(0), kStart);
  for (TimePoint now = kStart; now < kStart + seconds(100); now += seconds(1)) {
    const HostNumber other = seed.SeatOf(
        HostId("new" + std::to_string(now.time_since_epoch().count())),
        HostNumber(), 0, now);
    CHECK((host.Own(now).number != other.number ||
           other.number == HostNumber::kNone));
  }
  CHECK(!host.Own(kStart + seconds(100)).IsKnown());
}

TEST_CASE("a link that is up again within the lease keeps the number") {
  HostNumberAllocator host;
  host.OnSeat(HostOf(0), {4, 8});
  host.OnLinkDown(HostOf(0), kStart);
  host.OnLinkUp(HostOf(0));
  CHECK(host.Own(kStart + seconds(100)).number == 4);
}

TEST_CASE("a seed that has started anew takes over its hosts' numbers") {
  HostNumberAllocator before = MakeSeed(1);
  std::map<int, HostNumber> seats;
  for (int n = 0; n < 20; ++n) {
    seats[n] = before.SeatOf(HostOf(n), HostNumber(), 20, kStart);
  }
  HostNumberAllocator after = MakeSeed(1);
  for (int n = 19; n >= 0; --n) {
    CHECK(after.SeatOf(HostOf(n), seats[n], 20, kStart).number ==
          seats[n].number);
  }
  const HostNumber other = after.SeatOf(HostOf(99), seats[3], 20, kStart);
  CHECK(other.number != seats[3].number);
}

TEST_CASE("a number that no seed gives is not taken over") {
  HostNumberAllocator seed = MakeSeed(0);
  const HostNumber seat = seed.SeatOf(HostOf(1), {kSeeds * 1'000'000'000, 1},
                                      1'000'000'000, kStart);
  CHECK(seat.number == kSeeds);
  CHECK(seat.seats <= 1 << 14);
}

// The most turns at one of several endpoints that hosts take for their own.
int MostTurnsTaken(FeedSimulation& world) {
  constexpr int kEndpoints = 10;
  int most = 0;
  for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    int taken = 0;
    for (const auto& [name, host] : world.hosts()) {
      HostQuota own;
      if (host.is_up) {
        own.Draw(EndpointId("e" + std::to_string(endpoint)), kTurns,
                 host.feed->Seat(world.now()));
      }
      taken += own.own();
    }
    most = std::max(most, taken);
  }
  return most;
}

void ChangeSomething(FeedSimulation& world, const std::string& name) {
  const FeedSimulation::Host& host = world.hosts().at(name);
  if (!host.is_up) {
    world.Start(name);
  } else if (*rc::gen::inRange(0, 3) == 0) {
    world.Kill(name);
  } else {
    world.Freeze(name, !host.is_frozen);
  }
}

// Guards against turns that many hosts take for theirs while seeds and hosts
// end, start and freeze, which would multiply what a cold endpoint gets.
TEST_CASE("through any trouble each turn is taken by two hosts at most") {
  CHECK(rc::check("seats", [] {
    const int count = *rc::gen::inRange(4, 30);
    FeedSimulation world(count, kSeeds);
    world.UseCodec();
    for (int step = 0; step < 40; ++step) {
      ChangeSomething(world, "h" + std::to_string(*rc::gen::inRange(0, count)));
      for (int n = 0; n < 10; ++n) {
        world.Run(milliseconds(30));
        RC_ASSERT(MostTurnsTaken(world) <= 2 * kTurns);
      }
    }
    for (auto& [name, host] : world.hosts()) {
      if (!host.is_up) {
        world.Start(name);
      }
      world.Freeze(name, false);
    }
    world.Run(seconds(10));
    RC_ASSERT(MostTurnsTaken(world) <= kTurns);
    for (const auto& [name, host] : world.hosts()) {
      RC_ASSERT(host.feed->Seat(world.now()).IsKnown());
    }
  }));
}

}  // namespace
}  // namespace damasktack
