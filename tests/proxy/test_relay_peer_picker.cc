#include "proxy/relay_peer_picker.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

RelayHost MakeHost(const std::string& name, const std::string& zone) {
  return {HostId(name), ZoneId(zone), {"10.0.0.1", 7000}};
}

class Picker {
 public:
  Picker() {
    directory_.SetSelf(MakeHost("self", "z1"));
    directory_.SetPeers({MakeHost("far", "z2"), MakeHost("near", "z1"),
                         MakeHost("near2", "z1")});
  }

  std::string Pick(TimePoint now,
                   const std::vector<HostId>& tried = {},
                   const std::vector<RegionId>& allowed_regions = {}) {
    const auto peer = picker_.Pick(tried, allowed_regions, now);
    return peer ? peer->host.text() : "";
  }
  void End(const std::string& host, RelayEnd end, TimePoint now) {
    picker_.OnEnd(HostId(host), end, now);
  }
  RelayDirectory& directory() { return directory_; }

 private:
  const RelayPeerPicker::Regions regions_{{ZoneId("z1"), RegionId("r1")},
                                          {ZoneId("z2"), RegionId("r2")}};
  RelayDirectory directory_;
  RelayPeerPicker picker_{directory_, regions_};
};

TEST_CASE("peers of the same zone come first, and calls are spread") {
  Picker picker;
  std::map<std::string, int> calls;
  CHECK(picker.Pick(kStart) == "near");
  CHECK(picker.Pick(kStart) == "near2");
  CHECK(picker.Pick(kStart) == "far");
  picker.End("near2", RelayEnd::kTaken, kStart);
  CHECK(picker.Pick(kStart) == "near2");
  CHECK(picker.Pick(kStart, {HostId("near"), HostId("near2")}) == "far");
}

// Guards against calls that are offered again and again to a peer that is cut
// off itself, or gone.
TEST_CASE("a peer that refuses or is lost is left out for a while") {
  Picker picker;
  CHECK(picker.Pick(kStart) == "near");
  picker.End("near", RelayEnd::kRefused, kStart);
  CHECK(picker.Pick(kStart) == "near2");
  picker.End("near2", RelayEnd::kLost, kStart);
  CHECK(picker.Pick(kStart) == "far");
  picker.End("far", RelayEnd::kLost, kStart);
  CHECK(picker.Pick(kStart) == "");
  const TimePoint later = kStart + RelayPeerPicker::kRefusedBackoff;
  CHECK(picker.Pick(later) == "near");
  picker.End("near", RelayEnd::kRefused, later);
  CHECK(picker.Pick(later) == "");
}

// Guards against request bodies that leave the regions in which they may be
// handled.
TEST_CASE("a call that is restricted to regions stays in them") {
  Picker picker;
  CHECK(picker.Pick(kStart, {}, {RegionId("r2")}) == "far");
  CHECK(picker.Pick(kStart, {HostId("far")}, {RegionId("r2")}) == "");
  CHECK(picker.Pick(kStart, {}, {RegionId("r3")}) == "");
}

// Guards against a cut host that keeps to peers which have left the fleet.
TEST_CASE("fresh peers are requested while calls are relayed") {
  Picker picker;
  picker.directory().TakeUpdate();
  picker.Pick(kStart);
  CHECK(picker.directory().TakeUpdate());
  picker.Pick(kStart + milliseconds(10));
  CHECK(!picker.directory().TakeUpdate());
  picker.Pick(kStart + RelayPeerPicker::kRequestInterval);
  CHECK(picker.directory().TakeUpdate());
}

}  // namespace
}  // namespace damasktack
