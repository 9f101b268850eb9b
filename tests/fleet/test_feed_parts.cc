#include <doctest/doctest.h>

#include <string>

#include "feed_simulation.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

constexpr std::size_t kMaxPartBytes = 100'000;

// Guards against a host without routes: a single frame with all endpoints of a
// large fleet was rejected by every host that needed it.
TEST_CASE("a host receives all endpoints of any fleet size") {
  for (const std::size_t endpoints : {7'000UL, 12'000UL, 50'000UL}) {
    CAPTURE(endpoints);
    FeedSimulation world(3, 1);
    world.UseCodec();
    world.Kill("h2");
    for (std::size_t n = 0; n < endpoints; ++n) {
      world.AddEndpoint("e" + std::to_string(n));
    }
    world.Run(seconds(4));
    world.Start("h2");
    world.CutFromStore("h2", true);
    world.Run(seconds(4));
    for (const auto& [name, host] : world.hosts()) {
      CAPTURE(name);
      CHECK(world.VersionOf(host) == 1);
      CHECK(host.feed->view().Endpoints().size() == endpoints);
    }
    CHECK(world.frames_refused() == 0);
    CHECK(world.max_frame_bytes() < kMaxPartBytes);
  }
}

// Guards against transfers that restart with each change and never finish.
TEST_CASE("a partial transfer completes while endpoints change") {
  constexpr int kEndpoints = 400;
  FeedSimulation world(3, 1, false, 10);
  world.Kill("h2");
  for (int n = 0; n < kEndpoints; ++n) {
    world.AddEndpoint("e" + std::to_string(n));
  }
  world.Run(seconds(4));
  world.Start("h2");
  world.CutFromStore("h2", true);
  for (int n = 0; n < kEndpoints / 2; ++n) {
    world.RemoveEndpoint("e" + std::to_string(n));
    world.AddEndpoint("f" + std::to_string(n));
    world.Run(FeedSimulation::kStep);
  }
  const FeedSimulation::Host& host = world.hosts().at("h2");
  CHECK(world.VersionOf(host) == 1);
  world.Run(seconds(2));
  CHECK(world.RemovedEndpointsKept(host, Duration::zero()).empty());
  CHECK(world.MissingEndpoints(host, Duration::zero()).empty());
}

// Guards against a follower that is frozen during a transfer and continues with
// half of the endpoints.
TEST_CASE("a host frozen between two parts later has all endpoints") {
  FeedSimulation world(3, 1, false, 10);
  world.Kill("h2");
  for (int n = 0; n < 400; ++n) {
    world.AddEndpoint("e" + std::to_string(n));
  }
  world.Run(seconds(4));
  world.Start("h2");
  world.CutFromStore("h2", true);
  world.Run(FeedSimulation::kStep * 20);
  world.Freeze("h2", true);
  world.RemoveEndpoint("e0");
  world.RemoveEndpoint("e399");
  world.Run(seconds(8));
  world.Freeze("h2", false);
  world.Run(seconds(4));
  const FeedSimulation::Host& host = world.hosts().at("h2");
  CHECK(world.RemovedEndpointsKept(host, Duration::zero()).empty());
  CHECK(world.MissingEndpoints(host, Duration::zero()).empty());
}

}  // namespace
}  // namespace damasktack
