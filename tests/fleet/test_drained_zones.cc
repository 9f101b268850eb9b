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

// Calls go into a zone that is being emptied. A read of an older copy, or a
// peer that knows less, arrives after the word that the zone is drained, or
// after the word that it is so no more.
TEST_CASE("older word of a drain changes nothing") {
  PublishedView view;
  view.ApplyChanges(Drain(5, true), false, kStart);
  view.ApplyFullRead({{}, 4}, false, kStart);
  CHECK(InForce(view) == kZone);
  view.ApplyChanges(Drain(7, false), false, kStart);
  view.ApplyFullRead(Drain(5, true), false, kStart);
  CHECK(InForce(view) == kNone);
}

// A zone that was given back stays empty: the store forgot the history in which
// the drain ended, and a whole read only shows that it is not there.
TEST_CASE("a whole read without a drain ends it, also after an outage") {
  PublishedView view;
  view.ApplyFullRead(Drain(5, true), false, kStart);
  CHECK(view.TakeChanged());
  view.ApplyFullRead({{}, 9}, true, kStart);
  CHECK(InForce(view) == kNone);
  CHECK(view.TakeChanged());
}

// The same for a host whose feeder began to read after the drain had ended.
TEST_CASE("an update of a feeder that began later names all drains") {
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

TEST_CASE("names that somebody writes without end do not fill the memory") {
  DrainedZones zones;
  for (std::size_t n = 0; n < 2 * DrainedZones::kMaxZones; ++n) {
    zones.Take({ZoneId("z" + std::to_string(n)), true}, n + 1);
  }
  CHECK(zones.InForce().size() == DrainedZones::kMaxZones);
}

}  // namespace
}  // namespace damasktack
