#include "proxy/service_overload.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

using std::chrono::milliseconds;

ServiceSpec MakeService(std::size_t urgencies) {
  ServiceSpec service;
  service.id = ServiceId("s");
  service.route_mix.urgencies = urgencies;
  return service;
}

// Offers as many urgent as bulk calls for a second, of which the balancer
// refuses every other one. Returns the number of bulk calls that were admitted.
int RunShortage(ServiceOverload& overload, Refusal refusal) {
  TimePoint now{std::chrono::seconds(10)};
  CallOffer offer;
  SendEnd end;
  int admitted = 0;
  for (int n = 0; n < 500; ++n) {
    now += milliseconds(2);
    offer.urgency = n % 2 == 0 ? Urgency::kUrgent : Urgency::kBulk;
    offer.on_time_until = now + milliseconds(1);
    if (overload.Decide(offer.urgency, now).is_admitted) {
      admitted += offer.urgency == Urgency::kBulk ? 1 : 0;
      if (n % 4 < 2) {
        overload.OnRefused(offer.urgency, refusal, now);
      } else {
        overload.OnCallEnd(offer, end, now);
      }
    }
    overload.Update(now);
  }
  return admitted;
}

TEST_CASE("less urgent calls are refused while calls lack slots") {
  OverloadView view;
  ServiceOverload overload;
  overload.SetView(&view);
  overload.SetService(MakeService(2));
  const int admitted = RunShortage(overload, Refusal::kShed);
  CHECK(admitted > 0);
  CHECK(admitted < 200);
  CHECK(overload.capacity()->is_short);
}

// Guards against limits that cannot help, because no slot would become free.
TEST_CASE("calls are not limited for refusals that are not for lack of slots") {
  OverloadView view;
  ServiceOverload overload;
  overload.SetView(&view);
  overload.SetService(MakeService(2));
  CHECK(RunShortage(overload, Refusal::kNoEndpoint) == 250);
}

// Guards against a part that acts without its switches.
TEST_CASE("a service without a view or with one urgency is left alone") {
  OverloadView view;
  ServiceOverload overload;
  SUBCASE("no view") {
    overload.SetService(MakeService(2));
  }
  SUBCASE("routes of one urgency") {
    overload.SetView(&view);
    overload.SetService(MakeService(1));
  }
  CHECK(RunShortage(overload, Refusal::kShed) == 250);
  CHECK_FALSE(overload.capacity().has_value());
}

}  // namespace
}  // namespace damasktack
