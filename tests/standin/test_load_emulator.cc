#include "standin/load_emulator.h"

#include <doctest/doctest.h>

#include "policy/measured_balancer.h"

namespace damasktack {
namespace {

constexpr std::uint64_t kSeeds = 3;

BalancerFactory MeasuredFactory(int zones,
                                MeasuredBalancerOptions options = {}) {
  return [zones, options](int host, std::uint64_t seed) {
    MeasuredBalancerOptions host_options = options;
    host_options.host = HostId("h" + std::to_string(host));
    host_options.zone = ZoneId(std::to_string(host % zones));
    return std::make_unique<MeasuredBalancer>(host_options, seed);
  };
}

std::unique_ptr<Balancer> OracleFactory(int /*host*/, std::uint64_t /*seed*/) {
  return nullptr;
}

EmulatedFigures RunSeeds(const EmulatedService& service,
                         const EmulatedLoad& load,
                         const BalancerFactory& factory) {
  EmulatedFigures sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const EmulatedFigures it = LoadEmulator(service, load, factory, seed).Run();
    sum.calls += it.calls;
    sum.on_time += it.on_time;
    sum.late += it.late;
    sum.refused += it.refused;
    sum.failed += it.failed;
    sum.sends += it.sends;
    sum.probes += it.probes;
    sum.other_zone_sends += it.other_zone_sends;
  }
  return sum;
}

TEST_CASE("every call ends once, and the same seed gives the same results") {
  const EmulatedService service;
  EmulatedLoad load;
  load.middle_factor = 1.7;
  const EmulatedFigures once =
      RunSeeds(service, load, MeasuredFactory(service.zones));
  const EmulatedFigures again =
      RunSeeds(service, load, MeasuredFactory(service.zones));
  CHECK(once.on_time + once.late + once.refused + once.failed == once.calls);
  CHECK(once.on_time == again.on_time);
  CHECK(once.probes == again.probes);
}

TEST_CASE("the oracle scores higher than the measured balancer") {
  const EmulatedService service;
  EmulatedLoad load;
  load.middle_factor = 1.7;
  CHECK(RunSeeds(service, load, OracleFactory).WeightedOnTimeShare() >
        RunSeeds(service, load, MeasuredFactory(service.zones))
            .WeightedOnTimeShare());
}

// Guards against callers waiting in a burst while some servers are nearly idle.
// A quarter of the servers is slow at any time, and the others stay slow once
// their last slot is in use. If hosts fill the servers of their own zone, or
// hold calls for which no slot is free, later calls wait behind these.
TEST_CASE("a burst on servers that slow down when full is served") {
  const EmulatedService service;
  EmulatedLoad load;
  load.middle_factor = 1.7;
  const EmulatedFigures figures =
      RunSeeds(service, load, MeasuredFactory(service.zones));
  // 0.830 with a slowdown of 1.15 and calls held for 25 ms; 0.853 with the
  // present settings.
  CHECK(figures.WeightedOnTimeShare() > 0.842);
  CHECK(figures.Served() > 0.90);
}

// The same failure with longer work on six slots, where a queue takes seconds
// to drain.
TEST_CASE("an overload of servers with six slots is served") {
  EmulatedService service;
  service.endpoints = 15;
  service.slots = 6;
  service.work = std::chrono::milliseconds(160);
  EmulatedLoad load;
  load.hosts = 17;
  load.calls_per_second = 300;
  load.objective = std::chrono::milliseconds(400);
  load.deadline = std::chrono::milliseconds(1200);
  // 0.663 when the failure occurred; 0.712 with the present policy.
  CHECK(RunSeeds(service, load, MeasuredFactory(service.zones))
            .WeightedOnTimeShare() > 0.69);
}

// Traffic between zones is billed. While the servers of the own zone have free
// slots, at most about one call in ten needs to leave the zone; before, one in
// four did.
TEST_CASE("at low load most calls stay in their zone") {
  const EmulatedService service;
  EmulatedLoad load;
  load.calls_per_second = 100;
  const EmulatedFigures figures =
      RunSeeds(service, load, MeasuredFactory(service.zones));
  CHECK(figures.other_zone_sends * 6 < figures.sends);
  CHECK(figures.WeightedOnTimeShare() > 0.98);
}

double ServedWithRetryBudget(const EmulatedService& service,
                             const EmulatedLoad& load,
                             const RetryBudgetOptions& retries) {
  MeasuredBalancerOptions options;
  options.retries = retries;
  return RunSeeds(service, load, MeasuredFactory(service.zones, options))
      .Served();
}

// Every server sheds half of its calls, and the retry budget is one retry in
// five sends. Callers retry once. Retries spent on calls whose callers would
// have retried anyway are missing for callers that already have.
TEST_CASE("retries go to callers that have retried") {
  EmulatedService service;
  service.shed_part = 0.55;
  EmulatedLoad load;
  RetryBudgetOptions retries;
  retries.service_percent = 18;
  retries.fleet_slack = 62;
  RetryBudgetOptions any_caller = retries;
  any_caller.max_refused = 1;
  CHECK(ServedWithRetryBudget(service, load, retries) >
        ServedWithRetryBudget(service, load, any_caller));
  RetryBudgetOptions single = any_caller;
  single.fleet_slack = 0;
  single.service_cap = 1;
  CHECK(ServedWithRetryBudget(service, load, any_caller) >
        ServedWithRetryBudget(service, load, single));
}

// Published tolerance of a cold server in calls per second, and the bound on
// calls within any second.
constexpr double kColdRate = 2;
constexpr ColdBoundOptions kColdBound = {1.5, 8};
constexpr std::uint64_t kMaxCallsInAnySecond = 11;

std::uint64_t MaxColdSendsInAnySecond(const EmulatedService& service,
                                      const EmulatedLoad& load) {
  MeasuredBalancerOptions options;
  options.cold = kColdBound;
  const BalancerFactory factory = MeasuredFactory(service.zones, options);
  std::uint64_t worst = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    worst = std::max(worst, LoadEmulator(service, load, factory, seed)
                                .Run()
                                .max_cold_sends_per_second);
  }
  return worst;
}

// Guards against endpoints that crash again after their zone's drain has ended.
// They are cold and have short work on six slots, so that they look free to
// every host. If no other endpoints are left, all hosts together would send
// several times the tolerated rate. The bound must also hold where hosts assume
// half of the actual fleet size.
TEST_CASE("all hosts together keep to the tolerated rate of cold servers") {
  EmulatedService service;
  service.endpoints = 15;
  service.slots = 6;
  service.zones = 3;
  service.work = std::chrono::milliseconds(20);
  service.cold_from = std::chrono::seconds(3);
  EmulatedLoad load;
  load.calls_per_second = 1000;
  load.length = std::chrono::seconds(9);
  for (const int hosts : {30, 111, 300}) {
    CAPTURE(hosts);
    load.hosts = hosts;
    load.believed_hosts = hosts / 2;
    service.cold_part = 1;
    service.cold_rate = 0;
    CHECK(MaxColdSendsInAnySecond(service, load) > kMaxCallsInAnySecond);
    service.cold_rate = kColdRate;
    for (const bool have_host_numbers : {true, false}) {
      CAPTURE(have_host_numbers);
      load.have_host_numbers = have_host_numbers;
      service.cold_part = 1;
      CHECK(MaxColdSendsInAnySecond(service, load) <= kMaxCallsInAnySecond);
      service.cold_part = 0.4;
      CHECK(MaxColdSendsInAnySecond(service, load) <= kMaxCallsInAnySecond);
    }
  }
}

EmulatedService ColdServersOfTwoSlots(int endpoints) {
  EmulatedService service;
  service.endpoints = endpoints;
  service.slots = 2;
  service.queue = 8;
  service.zones = 3;
  service.work = std::chrono::milliseconds(220);
  service.cold_part = 1;
  service.cold_rate = kColdRate;
  return service;
}

// Guards against overloading cold servers where callers disconnect and so free
// slots early, or where hosts read reports and send calls late.
TEST_CASE("cold servers are not overloaded because of outdated reports") {
  const EmulatedService service = ColdServersOfTwoSlots(12);
  EmulatedLoad leaving;
  leaving.hosts = 40;
  leaving.calls_per_second = 220;
  leaving.objective = std::chrono::milliseconds(600);
  leaving.deadline = std::chrono::milliseconds(1200);
  leaving.leaving_part = 0.5;
  EmulatedLoad late = leaving;
  late.hosts = 111;
  late.calls_per_second = 600;
  late.leaving_part = 0;
  late.most_lateness = std::chrono::milliseconds(60);
  CHECK(MaxColdSendsInAnySecond(service, leaving) <= kMaxCallsInAnySecond);
  CHECK(MaxColdSendsInAnySecond(service, late) <= kMaxCallsInAnySecond);
}

// Guards against refusing most callers when a whole service is cold after a
// drain, although its endpoints cannot exceed the tolerated rate: each has two
// slots, all of which may be in use, and a call takes 220 ms.
TEST_CASE("cold servers whose slots limit their call rate serve callers") {
  const EmulatedService service = ColdServersOfTwoSlots(102);
  EmulatedLoad load;
  load.hosts = 111;
  load.calls_per_second = 169;
  load.objective = std::chrono::milliseconds(600);
  load.deadline = std::chrono::milliseconds(1200);
  load.length = std::chrono::seconds(9);
  CHECK(MaxColdSendsInAnySecond(service, load) <= kMaxCallsInAnySecond);
  MeasuredBalancerOptions options;
  options.cold = kColdBound;
  const BalancerFactory bounded = MeasuredFactory(service.zones, options);
  // At most two percentage points below the fraction that the oracle serves.
  CHECK(RunSeeds(service, load, bounded).Served() >
        RunSeeds(service, load, OracleFactory).Served() - 0.02);
}

}  // namespace
}  // namespace damasktack
