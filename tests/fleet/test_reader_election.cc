#include "fleet/reader_election.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace damasktack {
namespace {

HostView ViewOf(int hosts) {
  HostView view;
  view.self = HostId("h0");
  view.self_zone = ZoneId("z0");
  view.listed = true;
  for (int n = 1; n < hosts; ++n) {
    view.peers.push_back({HostId("h" + std::to_string(n)), 1,
                          ZoneId("z" + std::to_string(n % 3)),
                          ListedState::kLive, true});
  }
  return view;
}

TEST_CASE("the number of readers does not depend on the zone size") {
  for (const int hosts : {9, 60, 600}) {
    CHECK(ElectReaders(ViewOf(hosts), ZoneId("z1")).size() == kReadersPerZone);
  }
  CHECK(ElectReaders(ViewOf(600), ZoneId("none")).empty());
}

TEST_CASE("a leaving or silent reader is replaced, the others stay") {
  HostView view = ViewOf(30);
  const auto before = ElectReaders(view, ZoneId("z1"));
  const auto first = std::ranges::find(view.peers, before[0], &PeerView::id);
  first->listed = ListedState::kLeaving;
  const auto leaving = ElectReaders(view, ZoneId("z1"));
  CHECK(leaving.size() == kReadersPerZone);
  CHECK(leaving[0] == before[1]);
  first->listed = ListedState::kLive;
  first->reachable = false;
  CHECK(ElectReaders(view, ZoneId("z1")) == leaving);
}

TEST_CASE("a host without a list reads, a leaving one does not") {
  HostView view = ViewOf(30);
  view.listed = false;
  CHECK(IsReader(view));
  view.self_leaving = true;
  CHECK_FALSE(IsReader(view));
  HostView alone = ViewOf(1);
  CHECK(IsReader(alone));
}

}  // namespace
}  // namespace damasktack
