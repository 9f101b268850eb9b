#include "policy/cold_allowance.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "policy/cold_endpoints.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
// So many slots at so short work never bound the calls of a second.
constexpr double kSlots = 100;
constexpr Duration kShortWork = milliseconds(10);

// The most calls within any second, where each host sends whenever it may, and
// finds the endpoint idle whenever it looks.
std::size_t WorstSecond(int hosts, double rate, Duration length) {
  ServiceSpec service;
  service.cold_rate = rate;
  service.endpoints.resize(1);
  EndpointSpec& endpoint = service.endpoints[0];
  endpoint.id = EndpointId("e" + std::to_string(*rc::gen::inRange(0, 1000)));
  endpoint.cold_until = kStart + length;
  std::vector<ColdEndpoints> fleet;
  for (int n = 0; n < hosts; ++n) {
    fleet.emplace_back(HostId("h" + std::to_string(n)), ColdBoundOptions{});
    fleet.back().SetService(service, hosts, kStart);
    fleet.back().OnListed(0, nullptr, endpoint, kStart);
  }
  const ColdLook idle{0, true, 0, kSlots};
  std::deque<TimePoint> sends;
  std::size_t worst = 0;
  for (TimePoint now = kStart; now < kStart + length; now += milliseconds(5)) {
    for (ColdEndpoints& it : fleet) {
      if (it.MayTakeOne(idle, kShortWork, now)) {
        it.OnSend(0, now);
        sends.push_back(now);
      }
    }
    while (!sends.empty() && now - sends.front() >= seconds(1)) {
      sends.pop_front();
    }
    worst = std::max(worst, sends.size());
  }
  return worst;
}

// An endpoint crashes while its caches fill: hosts that cannot see each other
// send it more than it tolerates. However many they are, and although each of
// them has calls all the time, no second has more than half as much again as
// the rate, and eight.
TEST_CASE("hosts that always have calls keep to a cold endpoint's rate") {
  CHECK(rc::check("rates", [] {
    const int hosts = *rc::gen::inRange(1, 473);
    const double rate = *rc::gen::inRange(1, 40);
    const std::size_t worst = WorstSecond(hosts, rate, seconds(8));
    RC_ASSERT(static_cast<double>(worst) <= rate * 1.5 + 8);
  }));
}

// The room that endpoints have while they are cold stays unused: hosts save
// their parts up or let them lapse together. Over a while they use all of it.
TEST_CASE("together hosts may send what a cold endpoint tolerates") {
  for (const int hosts : {1, 18, 111, 472}) {
    CAPTURE(hosts);
    std::uint64_t sent = 0;
    for (std::uint64_t n = 0; n < static_cast<std::uint64_t>(hosts); ++n) {
      ColdAllowance allowance(n * 0x9E3779B97F4A7C15ULL + 1);
      allowance.OnCold(ColdWord::kList, kStart + seconds(100), kStart);
      for (TimePoint now = kStart; now < kStart + seconds(100);
           now += milliseconds(20)) {
        if (allowance.Allows(2.0 / hosts, now)) {
          allowance.OnSend(now);
          ++sent;
        }
      }
    }
    CHECK(sent > 160);
    CHECK(sent < 240);
  }
}

TEST_CASE("one that is warm takes calls whatever the share") {
  ColdAllowance allowance(7);
  CHECK(allowance.Allows(0, kStart));
  allowance.OnCold(ColdWord::kList, kStart + seconds(1), kStart);
  CHECK(!allowance.Allows(0, kStart));
  allowance.OnCold(ColdWord::kProbe, kStart, kStart);
  CHECK(allowance.Allows(0, kStart));
}

}  // namespace
}  // namespace damasktack
