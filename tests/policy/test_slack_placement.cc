#include "policy/slack_placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

#include "policy/measured_balancer.h"
#include "tests/policy/balancer_load.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

using Choice = SlackPlacement::Choice;

SlackCandidate MakeCandidate(int finish_ms, double pace) {
  SlackCandidate candidate;
  candidate.finish = milliseconds(finish_ms);
  candidate.pace = pace;
  candidate.is_good = pace <= 2;
  candidate.has_free_slot = true;
  return candidate;
}

TEST_CASE("capacity is short only while recent reports show few good ones") {
  SlackPlacement placement;
  TimePoint now = kStart;
  const auto report = [&](int good, int others) {
    for (int n = 0; n < good + others; ++n) {
      now += milliseconds(1);
      placement.OnProbeReport(n < good, now);
    }
  };
  report(0, 30);
  CHECK_FALSE(placement.IsShort(now));
  placement.SetEnabled(true);
  report(0, 7);
  CHECK_FALSE(placement.IsShort(now));
  report(0, 23);
  CHECK(placement.IsShort(now));
  CHECK_FALSE(placement.IsShort(now + std::chrono::seconds(2)));
  report(60, 0);
  CHECK_FALSE(placement.IsShort(now));
  CHECK(placement.GoodShare(now).value_or(0) > 0.6);
}

// Guards against a fast endpoint that is taken by a call with slack, so that a
// call which needs it is late.
TEST_CASE("a call goes to the slowest endpoint where it is on time") {
  const std::vector<SlackCandidate> candidates = {
      MakeCandidate(110, 1), MakeCandidate(770, 7), MakeCandidate(330, 3)};
  const SlackCall loose{milliseconds(1200), milliseconds(3000), 1.5};
  const SlackCall medium{milliseconds(1000), milliseconds(3000), 1.5};
  const SlackCall tight{milliseconds(200), milliseconds(3000), 1.5};
  const auto choose = [&](const SlackCall& call) {
    const auto chosen =
        SlackPlacement::Choose(candidates, milliseconds(110), call);
    REQUIRE(chosen.choice == Choice::kCandidate);
    return chosen.candidate;
  };
  CHECK(choose(loose) == 1);
  CHECK(choose(medium) == 2);
  CHECK(choose(tight) == 0);
}

TEST_CASE("a late call takes a slow endpoint's slot or none") {
  std::vector<SlackCandidate> candidates = {MakeCandidate(110, 1)};
  const SlackCall late{milliseconds(50), milliseconds(900), 1.5};
  const auto choose = [&] {
    return SlackPlacement::Choose(candidates, milliseconds(110), late);
  };
  CHECK(choose().choice == Choice::kNone);
  candidates.push_back(MakeCandidate(770, 7));
  CHECK(choose().choice == Choice::kCandidate);
  CHECK(choose().candidate == 1);
  candidates[1].has_free_slot = false;
  CHECK(choose().choice == Choice::kNone);
}

TEST_CASE("a chosen endpoint is free and no slower one is on time") {
  CHECK(rc::check([] {
    std::vector<SlackCandidate> candidates;
    const int count = *rc::gen::inRange(0, 12);
    for (int n = 0; n < count; ++n) {
      const int pace = *rc::gen::inRange(1, 8);
      candidates.push_back(MakeCandidate(100 * pace, pace));
      candidates.back().has_free_slot = *rc::gen::arbitrary<bool>();
      candidates.back().is_in_other_zone = *rc::gen::arbitrary<bool>();
    }
    const SlackCall call{milliseconds(*rc::gen::inRange(100, 1500)),
                         milliseconds(3000), 1.5};
    const auto is_possible = [&](const SlackCandidate& it) {
      return it.has_free_slot && it.finish * 1.5 <= call.until_objective;
    };
    const auto decision =
        SlackPlacement::Choose(candidates, milliseconds(100), call);
    if (decision.choice == Choice::kUsual) {
      for (const SlackCandidate& it : candidates) {
        RC_ASSERT(!is_possible(it));
      }
      return;
    }
    RC_ASSERT(decision.choice == Choice::kCandidate);
    const SlackCandidate& chosen = candidates[decision.candidate];
    RC_ASSERT(is_possible(chosen));
    for (const SlackCandidate& it : candidates) {
      RC_ASSERT(!is_possible(it) || it.pace <= chosen.pace);
    }
  }));
}

TEST_CASE("waits follow the slack of the call") {
  const Duration least = milliseconds(8);
  const SlackWaits tight = SlackPlacement::WaitsFor(milliseconds(78), least);
  const SlackWaits loose = SlackPlacement::WaitsFor(milliseconds(1260), least);
  CHECK(tight.endpoint == milliseconds(39));
  CHECK(loose.endpoint == milliseconds(630));
  CHECK(tight.probes < loose.probes);
  CHECK(SlackPlacement::WaitsFor(milliseconds(-50), least).probes == least);
}

constexpr int kEndpoints = 24;
constexpr BalancerLoad::RouteLoad kTight{.execution = milliseconds(140),
                                         .objective = milliseconds(400),
                                         .timeout = milliseconds(1600)};
constexpr BalancerLoad::RouteLoad kLoose{.execution = milliseconds(110),
                                         .objective = milliseconds(1500),
                                         .timeout = milliseconds(4000)};

ServiceSpec MakeService() {
  ServiceSpec service;
  service.id = ServiceId("status");
  service.route_mix.has_mixed_objectives = true;
  for (int n = 0; n < kEndpoints; ++n) {
    EndpointSpec spec;
    spec.id = EndpointId("e" + std::to_string(n));
    spec.zone = ZoneId(n % 2 == 0 ? "near" : "far");
    spec.slots = 4;
    service.endpoints.push_back(spec);
  }
  return service;
}

// Plays calls of both routes while three endpoints in ten, another set each
// half second, are seven times slower.
std::vector<BalancerLoad::Result> PlayMixed(bool slack_placement,
                                            double tight_per_second,
                                            double loose_per_second) {
  BalancerLoad load(5, MakeService(), [&](int host) {
    MeasuredBalancerOptions options;
    options.host = HostId("h" + std::to_string(host));
    options.zone = ZoneId("near");
    options.slack_placement = slack_placement;
    return std::make_unique<MeasuredBalancer>(options, 7 + host);
  });
  Random random(3);
  load.on_step = [&](Duration since_start) {
    if (since_start % milliseconds(500) == Duration::zero()) {
      for (int n = 0; n < kEndpoints; ++n) {
        load.pace[n] = UniformBelow(random, 10) < 3 ? 7 : 1;
      }
    }
  };
  BalancerLoad::RouteLoad tight = kTight;
  BalancerLoad::RouteLoad loose = kLoose;
  tight.calls_per_second = tight_per_second;
  loose.calls_per_second = loose_per_second;
  return load.Play({tight, loose}, std::chrono::seconds(20));
}

// Guards against late and refused calls of a tight objective while calls that
// could run on slow endpoints use the fast ones.
TEST_CASE("calls with slack leave fast endpoints to others under load") {
  const auto before = PlayMixed(false, 280, 300);
  const auto after = PlayMixed(true, 280, 300);
  CHECK(after[0].OnTimeShare() > before[0].OnTimeShare() + 0.1);
  CHECK(after[1].OnTimeShare() > before[1].OnTimeShare() - 0.02);
}

TEST_CASE("nothing changes while free endpoints of usual pace are plentiful") {
  const auto before = PlayMixed(false, 120, 100);
  const auto after = PlayMixed(true, 120, 100);
  for (std::size_t n = 0; n < before.size(); ++n) {
    CHECK(after[n].calls == before[n].calls);
    CHECK(after[n].on_time == before[n].on_time);
    CHECK(after[n].refusals == before[n].refusals);
  }
}

// Guards against a host that keeps acting on a shortage after it has lost its
// probes: the last reports say nothing about the present.
TEST_CASE("without fresh reports calls are placed as without a shortage") {
  constexpr EndpointIndex kFast = 0;
  constexpr EndpointIndex kSlow = 1;
  MeasuredBalancerOptions options;
  options.zone = ZoneId("near");
  options.slack_placement = true;
  MeasuredBalancer balancer(options, 7);
  TimePoint now = kStart;
  balancer.SetService(MakeService(), 1, now);
  Decisions out;
  const auto report = [&](EndpointIndex endpoint, int in_flight, double pace) {
    EndpointReport report;
    report.slots = 4;
    report.in_flight = in_flight;
    report.pace = pace;
    balancer.Report(endpoint, report, now, out);
  };
  const auto place = [&](CallToken token, Duration objective) {
    report(kFast, 0, 1);
    report(kSlow, 0, 3);
    CallOffer offer;
    offer.token = token;
    offer.arrival = now;
    offer.on_time_until = now + objective;
    offer.deadline = now + std::chrono::seconds(5);
    out.clear();
    balancer.Offer(offer, now, out);
    REQUIRE(out.dispatches.size() == 1);
    return out.dispatches[0].endpoint;
  };
  // Sets the usual execution time to 100 ms.
  place(1, milliseconds(300));
  for (EndpointIndex n = 2; n < kEndpoints; ++n) {
    report(n, 4, 1);
  }
  REQUIRE(balancer.Status(now).is_capacity_short);
  CHECK(place(2, milliseconds(1500)) == kSlow);
  now += std::chrono::seconds(2);
  CHECK_FALSE(balancer.Status(now).is_capacity_short);
  CHECK(place(3, milliseconds(1500)) == kFast);
}

}  // namespace
}  // namespace damasktack
