#include "policy/return_pacing.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "policy/measured_balancer.h"
#include "policy/service_balancer.h"
#include "tests/policy/balancer_load.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Records answers at a constant rate until the view of the capacity is stable.
void LearnRate(ReturnPacing& pacing, Duration interval, TimePoint until) {
  for (TimePoint at = until - seconds(5); at <= until; at += interval) {
    pacing.OnAnswered(at);
  }
}

RefusedCall MakeRefused(Duration time_left) {
  RefusedCall call;
  call.earliest = milliseconds(15);
  call.time_left = time_left;
  call.useful_for = seconds(2);
  return call;
}

TEST_CASE("capacity is the own rate of answers times the hosts") {
  ReturnPacing pacing;
  pacing.SetHosts(10);
  CHECK_FALSE(pacing.FleetCapacity(kStart));
  LearnRate(pacing, milliseconds(20), kStart);
  CHECK(pacing.FleetCapacity(kStart).value_or(0) ==
        doctest::Approx(500).epsilon(0.05));
  CHECK_FALSE(pacing.FleetCapacity(kStart + seconds(10)));
  pacing.SetFleetCapacity(300);
  CHECK(pacing.FleetCapacity(kStart) == 300);
}

// Guards against callers that return together and are refused again.
TEST_CASE("the returns of any 100 ms fit the capacity") {
  CHECK(rc::check([] {
    const int interval_ms = *rc::gen::inRange(2, 100);
    const double capacity = 1000.0 / interval_ms;
    ReturnPacing pacing;
    pacing.SetFleetCapacity(capacity);
    Random random(1);
    std::vector<TimePoint> returns;
    TimePoint now = kStart;
    const int refused = *rc::gen::inRange(1, 60);
    for (int n = 0; n < refused; ++n) {
      now += milliseconds(*rc::gen::inRange(0, 20));
      RefusedCall call = MakeRefused(seconds(3));
      call.urgency = static_cast<Urgency>(*rc::gen::inRange(0, 3));
      const std::uint64_t before = pacing.over_capacity();
      const Duration delay = pacing.Delay(call, now, random);
      RC_ASSERT(delay >= call.earliest);
      RC_ASSERT(delay <= seconds(1));
      // Those without capacity in time are spread at random; those of another
      // urgency keep only their own and more urgent reservations.
      if (pacing.over_capacity() == before && call.urgency == Urgency::kBulk) {
        returns.push_back(now + delay);
      }
    }
    std::ranges::sort(returns);
    for (auto first = returns.begin(); first != returns.end(); ++first) {
      const auto last = std::ranges::upper_bound(first, returns.end(),
                                                 *first + milliseconds(100));
      RC_ASSERT(static_cast<double>(last - first) <= capacity / 10 + 2);
    }
  }));
}

TEST_CASE("urgent callers return before less urgent ones") {
  ReturnPacing pacing;
  pacing.SetFleetCapacity(20);
  Random random(1);
  RefusedCall bulk = MakeRefused(seconds(3));
  bulk.urgency = Urgency::kBulk;
  RefusedCall urgent = MakeRefused(seconds(3));
  urgent.urgency = Urgency::kUrgent;
  for (int n = 0; n < 5; ++n) {
    pacing.Delay(bulk, kStart, random);
  }
  CHECK(pacing.Delay(urgent, kStart, random) == urgent.earliest);
  CHECK(pacing.Delay(bulk, kStart, random) > milliseconds(250));
}

TEST_CASE("a delay is useful to the caller or the call yields") {
  ReturnPacing pacing;
  pacing.SetFleetCapacity(1);
  Random random(1);
  for (int n = 0; n < 50; ++n) {
    RefusedCall call = MakeRefused(milliseconds(900));
    call.useful_for = milliseconds(200);
    CHECK(pacing.Delay(call, kStart, random) <= milliseconds(200));
    call.useful_for = milliseconds(5);
    CHECK(pacing.Delay(call, kStart, random) == milliseconds(300));
  }
  CHECK(pacing.over_capacity() > 0);
}

TEST_CASE("without a view of the capacity, delays are not paced") {
  ReturnPacing pacing;
  Random random(1);
  for (int n = 0; n < 10; ++n) {
    CHECK(pacing.Delay(MakeRefused(seconds(3)), kStart, random) ==
          milliseconds(15));
  }
  CHECK(pacing.paced() == 0);
}

struct Incident {
  double calls_per_second = 0;
  // Fraction of the arrivals that endpoints refuse between 4 and 12 s.
  double shed_share = 0;
};

ServiceSpec MakeService() {
  ServiceSpec service;
  service.id = ServiceId("status");
  for (int n = 0; n < 24; ++n) {
    EndpointSpec spec;
    spec.id = EndpointId("e" + std::to_string(n));
    spec.slots = 4;
    service.endpoints.push_back(spec);
  }
  return service;
}

BalancerLoad::Result PlayIncident(const Incident& incident,
                                  double factor,
                                  bool measures) {
  BalancerLoad load(
      5, MakeService(), [&](int host) -> std::unique_ptr<Balancer> {
        if (!measures) {
          BalancerOptions options;
          options.return_pacing_factor = factor;
          return std::make_unique<ServiceBalancer>(options, 7 + host);
        }
        MeasuredBalancerOptions options;
        options.host = HostId("h" + std::to_string(host));
        options.return_pacing_factor = factor;
        return std::make_unique<MeasuredBalancer>(options, 7 + host);
      });
  load.on_step = [&](Duration since_start) {
    const bool sheds = since_start >= seconds(4) && since_start < seconds(12);
    load.shed_share = sheds ? incident.shed_share : 0;
  };
  BalancerLoad::RouteLoad route;
  route.calls_per_second = incident.calls_per_second;
  route.execution = milliseconds(140);
  route.objective = milliseconds(400);
  route.timeout = milliseconds(1600);
  return load.Play({route}, seconds(16))[0];
}

// Guards against callers that return at once, are refused again and lose their
// time while the offered load is above the capacity.
TEST_CASE("paced callers are refused less often under overload") {
  const Incident overload{750, 0};
  const auto before = PlayIncident(overload, 0, true);
  const auto after = PlayIncident(overload, 3.5, true);
  CHECK(after.refusals < before.refusals / 4);
  CHECK(after.OnTimeShare() > before.OnTimeShare());
}

// Guards against delays that make calls late while endpoints that refuse half
// of the calls have room.
TEST_CASE("pacing delays no call while endpoints that refuse calls have room") {
  const Incident refusing{450, 0.5};
  const auto before = PlayIncident(refusing, 0, true);
  const auto after = PlayIncident(refusing, 3.5, true);
  CHECK(after.OnTimeShare() >= before.OnTimeShare() - 0.002);
  const auto by_load = PlayIncident(refusing, 3.5, false);
  CHECK(by_load.OnTimeShare() > 0.97);
}

TEST_CASE("a returning call is accepted where a first attempt is refused") {
  MeasuredBalancerOptions options;
  options.return_pacing_factor = 3.5;
  MeasuredBalancer balancer(options, 7);
  const ServiceSpec service = MakeService();
  balancer.SetService(service, 1, kStart);
  Decisions out;
  for (EndpointIndex n = 0; n < service.endpoints.size(); ++n) {
    EndpointReport report;
    report.slots = 4;
    report.in_flight = 4;
    report.queued = 5;
    balancer.Report(n, report, kStart, out);
  }
  CallToken token = 0;
  const auto offer = [&](Duration asked, Duration objective) {
    CallOffer call;
    call.token = ++token;
    call.customer = CustomerId("route");
    call.asked = asked;
    call.timeout_factor = 4;
    call.arrival = kStart;
    call.on_time_until = kStart + objective;
    call.deadline = kStart + asked;
    out.clear();
    balancer.Offer(call, kStart, out);
    return out.dispatches.size() == 1;
  };
  // Sets the usual execution time to 100 ms; with the queue a call takes 288
  // ms.
  offer(milliseconds(1600), milliseconds(300));
  CHECK_FALSE(offer(milliseconds(1600), milliseconds(400)));
  CHECK(offer(milliseconds(1500), milliseconds(400)));
  CHECK_FALSE(offer(milliseconds(1500), milliseconds(300)));
}

}  // namespace
}  // namespace damasktack
