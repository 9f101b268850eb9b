#include "proxy/service_dispatcher.h"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>

#include "policy/measured_balancer.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServiceSpec MakeService(const std::string& endpoint) {
  ServiceSpec service;
  service.id = ServiceId("status");
  EndpointSpec spec;
  spec.id = EndpointId(endpoint);
  spec.address = {"10.0.0.1", 80};
  spec.slots = 3;
  service.endpoints = {spec};
  return service;
}

CallOffer MakeCall(CallToken token, TimePoint now) {
  CallOffer offer;
  offer.token = token;
  offer.arrival = now;
  offer.on_time_until = now + milliseconds(200);
  offer.deadline = now + milliseconds(500);
  return offer;
}

// Guards against an endpoint that gets no calls until it is listed again,
// because its index belonged to another endpoint when a probe began. The probe
// of the earlier endpoint ends as misdirected, or with the report that it is
// draining.
TEST_CASE("a late result of a probe does not apply to a reassigned index") {
  EndpointRates rates;
  const TimePoint now = Clock::now();
  for (const bool is_misdirected : {true, false}) {
    ServiceDispatcher dispatcher(
        std::make_unique<MeasuredBalancer>(MeasuredBalancerOptions{}, 7),
        ConnectionShare{1, 16}, rates, {});
    dispatcher.SetService(MakeService("earlier"), 1, now);
    dispatcher.Offer(
        MakeCall(1, now), [](const Placement&) {}, now);
    const std::optional<ProbeRequest> probe = dispatcher.NextProbe(now);
    REQUIRE(probe);
    REQUIRE(dispatcher.Withdraw(1, now));
    dispatcher.SetService(MakeService("later"), 1, now);
    if (is_misdirected) {
      dispatcher.ProbeFailed(*probe, SendResult::kMisdirected, now, now);
    } else {
      EndpointReport report;
      report.mode = EndpointMode::kDraining;
      dispatcher.Report(*probe, report, now);
    }
    CHECK(dispatcher.TakeDrainObservations().empty());
    std::optional<Placement> placed;
    dispatcher.Offer(
        MakeCall(2, now), [&](const Placement& it) { placed = it; }, now);
    const std::optional<ProbeRequest> next = dispatcher.NextProbe(now);
    REQUIRE(next);
    CHECK(next->endpoint == probe->endpoint);
    dispatcher.Report(*next, EndpointReport{}, now);
    REQUIRE(placed);
    CHECK(placed->refusal == Refusal::kNone);
    CHECK(placed->target.id == EndpointId("later"));
  }
}

}  // namespace
}  // namespace damasktack
