#include "policy/cold_allowance.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "policy/cold_endpoints.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
// So many slots never bound the calls of a second.
constexpr double kSlots = 100;
constexpr ColdBoundOptions kBound = {1.5, 8};

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
  const ColdObservation idle{0, true, 0, kSlots};
  std::deque<TimePoint> sends;
  std::size_t worst = 0;
  for (TimePoint now = kStart; now < kStart + length; now += milliseconds(5)) {
    for (ColdEndpoints& it : fleet) {
      if (it.CanAcceptCall(idle, now)) {
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

// Hosts that share an endpoint which is cold all the time.
class SeatedFleet {
 public:
  SeatedFleet(int hosts, double rate, const std::string& endpoint) {
    ServiceSpec service;
    service.cold_rate = rate;
    service.endpoints.resize(1);
    service.endpoints[0].id = EndpointId(endpoint);
    service.endpoints[0].cold_until = TimePoint::max();
    for (int n = 0; n < hosts; ++n) {
      hosts_.emplace_back(HostId("h" + std::to_string(n)), kBound);
      hosts_.back().SetService(service, hosts, kStart);
      hosts_.back().OnListed(0, nullptr, service.endpoints[0], kStart);
    }
  }

  std::size_t size() const { return hosts_.size(); }
  void SetHostNumber(std::size_t host, const HostNumber& seat) {
    hosts_[host].SetHostNumber(seat);
  }
  // Whether the host sends, which it does whenever it may.
  bool Send(std::size_t host, TimePoint now) {
    const ColdObservation free{0, true, kSlots - 1, kSlots};
    if (!hosts_[host].CanAcceptCall(free, now)) {
      return false;
    }
    hosts_[host].OnSend(0, now);
    return true;
  }

 private:
  std::vector<ColdEndpoints> hosts_;
};

std::size_t MostWithinASecond(std::vector<TimePoint> arrivals) {
  std::ranges::sort(arrivals);
  std::size_t worst = 0;
  std::size_t first = 0;
  for (std::size_t n = 0; n < arrivals.size(); ++n) {
    while (arrivals[n] - arrivals[first] >= seconds(1)) {
      ++first;
    }
    worst = std::max(worst, n - first + 1);
  }
  return worst;
}

// Guards against a flood by hosts whose reports always show a free slot, some
// of which have a seat that another has now, or differ in how many there are.
TEST_CASE("hosts with seats keep to a cold endpoint's bound") {
  CHECK(rc::check("seats", [] {
    const int hosts = *rc::gen::inRange(1, 300);
    const double rate = *rc::gen::inRange(1, 40);
    const bool differ_in_seats = *rc::gen::arbitrary<bool>();
    SeatedFleet fleet(hosts, rate,
                      "e" + std::to_string(*rc::gen::inRange(0, 1000)));
    const int more_seats = *rc::gen::inRange(0, hosts + 1);
    for (int n = 0; n < hosts; ++n) {
      const HostNumber seat =
          differ_in_seats
              ? HostNumber{n, n % 2 == 0 ? hosts : hosts + more_seats}
              : HostNumber{n / 2, (hosts + 1) / 2};
      fleet.SetHostNumber(static_cast<std::size_t>(n), seat);
    }
    const int most_way_ms = *rc::gen::inRange(0, 250);
    std::mt19937 random(*rc::gen::arbitrary<unsigned>());
    std::vector<TimePoint> arrivals;
    for (TimePoint now = kStart; now < kStart + seconds(5);
         now += milliseconds(7)) {
      for (std::size_t n = 0; n < fleet.size(); ++n) {
        if (fleet.Send(n, now)) {
          arrivals.push_back(now + milliseconds(random() % (most_way_ms + 1)));
        }
      }
    }
    RC_ASSERT(static_cast<double>(MostWithinASecond(arrivals)) <=
              rate * kBound.overshoot + kBound.slack);
  }));
}

// Guards against seats that leave cold endpoints unused, so that calls are
// refused that these would have served.
TEST_CASE("hosts with seats use what cold endpoints tolerate") {
  constexpr int kEndpoints = 60;
  constexpr int kSeconds = 10;
  constexpr double kRate = 2;
  for (const int hosts : {18, 111, 472}) {
    CAPTURE(hosts);
    int sent = 0;
    for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
      SeatedFleet fleet(hosts, kRate, "e" + std::to_string(endpoint));
      for (int n = 0; n < hosts; ++n) {
        fleet.SetHostNumber(static_cast<std::size_t>(n), {n, hosts});
      }
      for (TimePoint now = kStart; now < kStart + seconds(kSeconds);
           now += milliseconds(50)) {
        for (std::size_t n = 0; n < fleet.size(); ++n) {
          sent += fleet.Send(n, now) ? 1 : 0;
        }
      }
    }
    CHECK(sent >= kRate * kEndpoints * kSeconds);
  }
}

// The room that endpoints have while they are cold stays unused: hosts save
// their parts up or let them lapse together. Over a while they use all of it.
TEST_CASE("together hosts may send what a cold endpoint tolerates") {
  for (const int hosts : {1, 18, 111, 472}) {
    CAPTURE(hosts);
    std::uint64_t sent = 0;
    for (std::uint64_t n = 0; n < static_cast<std::uint64_t>(hosts); ++n) {
      ColdAllowance allowance(n * 0x9E3779B97F4A7C15ULL + 1);
      allowance.OnCold(ColdSource::kList, kStart + seconds(100), kStart);
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
  allowance.OnCold(ColdSource::kList, kStart + seconds(1), kStart);
  CHECK(!allowance.Allows(0, kStart));
  allowance.OnCold(ColdSource::kProbe, kStart, kStart);
  CHECK(allowance.Allows(0, kStart));
}

}  // namespace
}  // namespace damasktack
