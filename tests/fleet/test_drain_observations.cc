#include "fleet/drain_observations.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);
const DrainObservation kSighting{ServiceId("dispatch"), EndpointId("e1")};

HostView ViewOfTwoPeers() {
  HostView view;
  view.peers.push_back(
      {HostId("h1"), 1, ZoneId("z"), ListedState::kLive, true});
  view.peers.push_back(
      {HostId("h2"), 1, ZoneId("z"), ListedState::kLive, false});
  return view;
}

// An endpoint drains while the list still calls it live. Hosts that call it
// learn it from an answer; one that has not called it for a while would send
// it new work ten seconds later.
TEST_CASE("a sighting goes to the reachable peers, once a second") {
  DrainObservations drains;
  Outbox out;
  drains.OnView(ViewOfTwoPeers(), kNow, out);
  drains.OnObserved(kSighting, kNow, out);
  drains.OnObserved(kSighting, kNow, out);
  const auto sent = out.Take();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].to == HostId("h1"));
  CHECK(std::get<DrainObservation>(sent[0].message) == kSighting);
  drains.Tick(kNow + DrainObservations::kRepeat, out);
  drains.OnObserved(kSighting, kNow + DrainObservations::kRepeat, out);
  CHECK(out.Take().size() == 1);
}

TEST_CASE("what was heard is told once and not passed on") {
  DrainObservations drains;
  Outbox out;
  drains.OnView(ViewOfTwoPeers(), kNow, out);
  drains.OnMessage({HostId("h1"), 1}, kSighting, kNow, out);
  CHECK(drains.TakeReceived() == std::set<DrainObservation>{kSighting});
  CHECK(drains.TakeReceived().empty());
  CHECK(out.Take().empty());
}

TEST_CASE("what is remembered is bounded") {
  DrainObservations drains;
  Outbox out;
  for (std::size_t n = 0; n < 2 * DrainObservations::kMost; ++n) {
    const DrainObservation each{ServiceId("s"), EndpointId(std::to_string(n))};
    drains.OnMessage({HostId("h1"), 1}, each, kNow, out);
  }
  CHECK(drains.TakeReceived().size() == DrainObservations::kMost);
}

}  // namespace
}  // namespace damasktack
