#include "fleet/drain_observations.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

const TimePoint kNow = TimePoint() + std::chrono::hours(1);
const DrainObservation kObservation{ServiceId("dispatch"), EndpointId("e1")};

HostView ViewOfTwoPeers() {
  HostView view;
  view.peers.push_back(
      {HostId("h1"), 1, ZoneId("z"), ListedState::kLive, true});
  view.peers.push_back(
      {HostId("h2"), 1, ZoneId("z"), ListedState::kLive, false});
  return view;
}

// An endpoint drains while the endpoint list still says that it is live. Hosts
// that call it learn this from its answers. Without messages from them, a host
// that has not called it for a while would still send it calls ten seconds
// later.
TEST_CASE("an observation is sent to reachable peers, once a second") {
  DrainObservations drains;
  Outbox out;
  drains.OnView(ViewOfTwoPeers(), kNow, out);
  drains.OnObserved(kObservation, kNow, out);
  drains.OnObserved(kObservation, kNow, out);
  const auto sent = out.Take();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].to == HostId("h1"));
  CHECK(std::get<DrainObservation>(sent[0].message) == kObservation);
  drains.Tick(kNow + DrainObservations::kRepeatInterval, out);
  drains.OnObserved(kObservation, kNow + DrainObservations::kRepeatInterval,
                    out);
  CHECK(out.Take().size() == 1);
}

TEST_CASE("a received observation is returned once and not forwarded") {
  DrainObservations drains;
  Outbox out;
  drains.OnView(ViewOfTwoPeers(), kNow, out);
  drains.OnMessage({HostId("h1"), 1}, kObservation, kNow, out);
  CHECK(drains.TakeReceived() == std::set<DrainObservation>{kObservation});
  CHECK(drains.TakeReceived().empty());
  CHECK(out.Take().empty());
}

TEST_CASE("the number of received observations is bounded") {
  DrainObservations drains;
  Outbox out;
  for (std::size_t n = 0; n < 2 * DrainObservations::kMaxObservations; ++n) {
    const DrainObservation each{ServiceId("s"), EndpointId(std::to_string(n))};
    drains.OnMessage({HostId("h1"), 1}, each, kNow, out);
  }
  CHECK(drains.TakeReceived().size() == DrainObservations::kMaxObservations);
}

}  // namespace
}  // namespace damasktack
