#include <doctest/doctest.h>

#include <string>

#include "feed_world.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

constexpr std::size_t kLargestPart = 100'000;

// Guards against a host without routes: one frame with the whole list of a
// large fleet was refused by every host that needed it.
TEST_CASE("a host learns of all endpoints, however many there are") {
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
    CHECK(world.largest_frame() < kLargestPart);
  }
}

// Guards against transfers that begin anew with each change and never end.
TEST_CASE("a list arrives in parts while endpoints come and go") {
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
  CHECK(world.Overdue(host, Duration::zero()).empty());
  CHECK(world.Lacking(host, Duration::zero()).empty());
}

// Guards against a follower that was frozen for the length of a transfer and
// goes on by half of a list.
TEST_CASE("a host that freezes between two parts has the whole list later") {
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
  CHECK(world.Overdue(host, Duration::zero()).empty());
  CHECK(world.Lacking(host, Duration::zero()).empty());
}

}  // namespace
}  // namespace damasktack
