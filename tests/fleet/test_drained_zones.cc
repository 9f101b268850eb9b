#include "fleet/drained_zones.h"

#include <doctest/doctest.h>

#include <vector>

#include <string>

#include "fleet/published_view.h"

namespace damasktack {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

const std::vector<ZoneId> kNone;
const std::vector<ZoneId> kZone = {ZoneId("z")};

PublishedItems Drain(Revision revision, bool in_force) {
  return {{{revision, ZoneDrain{ZoneId("z"), in_force}}}, revision};
}

std::vector<ZoneId> InForce(const PublishedView& view) {
  return view.drained_zones().InForce();
}

// Guards against calls into a drained zone. A read of an outdated copy, or the
// update of an outdated peer, arrives after the start or the end of the drain.
TEST_CASE("an outdated drain state changes nothing") {
  PublishedView view;
  view.ApplyChanges(Drain(5, true), false, kStart);
  view.ApplyFullRead({{}, 4}, false, kStart);
  CHECK(InForce(view) == kZone);
  view.ApplyChanges(Drain(7, false), false, kStart);
  view.ApplyFullRead(Drain(5, true), false, kStart);
  CHECK(InForce(view) == kNone);
}

// Guards against a zone that gets no calls after its drain has ended: the store
// has dropped the history with the end of the drain, and a complete read only
// shows that there is no drain.
TEST_CASE("a complete read without the drain ends it, also after an outage") {
  PublishedView view;
  view.ApplyFullRead(Drain(5, true), false, kStart);
  CHECK(view.TakeChanged());
  view.ApplyFullRead({{}, 9}, true, kStart);
  CHECK(InForce(view) == kNone);
  CHECK(view.TakeChanged());
}

// The same failure, for a host whose feeder began to read after the drain had
// ended.
TEST_CASE("the update of a feeder that began later includes all drains") {
  PublishedView feeder;
  feeder.ApplyFullRead(Drain(5, true), false, kStart);
  PublishedItems update = feeder.ChangesAfter(6, kStart);
  CHECK(update.items.empty());
  feeder.drained_zones().AddInForceUpTo(6, update);
  update.current = 8;
  PublishedView follower;
  follower.ApplyChanges(Drain(5, true), false, kStart);
  follower.ApplyChanges({{{6, ZoneDrain{ZoneId("gone"), true}}}, 6}, false,
                        kStart);
  const std::vector<EndpointId> present;
  follower.ApplyPart({}, update, &present, false, kStart);
  CHECK(InForce(follower) == kZone);
}

TEST_CASE("the number of stored zones is bounded") {
  DrainedZones zones;
  for (std::size_t n = 0; n < 2 * DrainedZones::kMaxZones; ++n) {
    zones.Take({ZoneId("z" + std::to_string(n)), true}, n + 1);
  }
  CHECK(zones.InForce().size() == DrainedZones::kMaxZones);
}

}  // namespace
}  // namespace damasktack
