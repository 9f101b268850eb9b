#include "fleet/store_revision.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <spdlog/spdlog.h>

#include <limits>
#include <vector>

#include "fleet/peer_codec.h"
#include "tests/fleet/feed_simulation.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Revision kMaxRevision = std::numeric_limits<Revision>::max();
// Revisions at which a shorter or a fractional type would lose a bit.
const std::vector<Revision> kLargeRevisions = {
    (Revision{1} << 44) - 8, 1'764'547'200'000'000, (Revision{1} << 53) - 8,
    (Revision{1} << 63) - 8, kMaxRevision - 200};

StoreRevision AnyRevision() {
  const auto shift = *rc::gen::inRange(0, 64);
  const Revision number = *rc::gen::arbitrary<Revision>() >> shift;
  const auto edge = *rc::gen::elementOf(kLargeRevisions);
  const StoreEra era = *rc::gen::element<StoreEra>(
      0, 1, 7, (StoreEra{1} << 20) - 1, StoreEra{1} << 20, kMaxRevision);
  return {era, *rc::gen::element(number, edge, edge + 7)};
}

// Guards against changes that no follower gets: revisions above 44 bits became
// one and the same, so that followers seemed to have everything.
TEST_CASE("changes reach all hosts whatever the store's revision") {
  for (const Revision base : kLargeRevisions) {
    CAPTURE(base);
    FeedSimulation world(7, 3);
    world.SkipRevisions(base);
    world.AddEndpoint("e1");
    world.AddEndpoint("e2");
    world.Run(seconds(5));
    const std::uint64_t calls = world.store_calls();
    for (std::uint64_t version = 2; version <= 15; ++version) {
      world.SetVersion(version);
      world.Run(milliseconds(700));
      for (const auto& [name, host] : world.hosts()) {
        CAPTURE(name);
        CHECK(world.VersionOf(host) == version);
      }
    }
    world.RemoveEndpoint("e1");
    world.Run(milliseconds(700));
    for (const auto& [name, host] : world.hosts()) {
      CHECK(host.feed->view().Endpoints().size() == 1);
    }
    // Nobody reads everything again for each change.
    CHECK(world.store_calls() - calls < 60);
  }
}

TEST_CASE("revisions of any size are unchanged and ordered in messages") {
  CHECK(rc::check([] {
    FeedUpdate update;
    update.after = AnyRevision();
    update.changes.current = AnyRevision();
    update.changes.items = {{AnyRevision(), RemovedEndpoint{EndpointId("e")}},
                            {AnyRevision(), ZoneDrain{ZoneId("z"), true}}};
    const std::string frame = EncodePeerMessage(update);
    FeedUpdate received;
    const auto error = CaptureError([&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(message, DecodePeerMessage(frame));
      received = std::get<FeedUpdate>(*message);
      return {};
    });
    RC_ASSERT(!error);
    RC_ASSERT(received.after == update.after);
    RC_ASSERT(received.changes.current == update.changes.current);
    RC_ASSERT(received.changes.items.size() == 2U);
    std::ranges::stable_sort(update.changes.items, {},
                             &PublishedItem::revision);
    RC_ASSERT(received.changes.items == update.changes.items);
  }));
}

TEST_CASE("small revisions are encoded as hosts of earlier builds read them") {
  CHECK(Json(StoreRevision(0, 17)) == Json(17U));
  CHECK(Json(StoreRevision(3, 9)) == Json((Revision{3} << 44) + 9));
  CHECK(Json(StoreRevision(0, Revision{1} << 44)).is_array());
}

// Guards against a rolling replacement in which a host of an earlier build
// confirms data as current that it cannot tell from newer data.
TEST_CASE("a revision that an earlier build has cut off is refused") {
  const Revision cut = (Revision{1} << 44) - 1;
  CHECK(!ParseRevision(Json(cut)));
  CHECK(!ParseRevision(Json((Revision{2} << 44) + cut)));
  CHECK(ParseRevision(Json::array({0U, cut})) == StoreRevision(0, cut));
  for (const Json& it : {Json(-1), Json(1.5), Json("1"), Json::array({1U}),
                         Json::array({1U, -1}), Json()}) {
    CHECK(!ParseRevision(it));
  }
}

}  // namespace
}  // namespace damasktack
