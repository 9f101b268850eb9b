#include "policy/measured_balancer.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

ServiceSpec MakeService(int endpoints) {
  ServiceSpec service;
  service.id = ServiceId("status");
  for (int n = 0; n < endpoints; ++n) {
    EndpointSpec spec;
    spec.id = EndpointId("e" + std::to_string(n));
    spec.address = {"10.0.0." + std::to_string(n + 1), 80};
    spec.zone = ZoneId(n % 2 == 0 ? "near" : "far");
    spec.slots = 3;
    service.endpoints.push_back(spec);
  }
  return service;
}

MeasuredBalancerOptions MakeOptions() {
  MeasuredBalancerOptions options;
  options.zone = ZoneId("near");
  return options;
}

CallOffer MakeCall(CallToken token, TimePoint now) {
  CallOffer offer;
  offer.token = token;
  offer.customer = CustomerId("route");
  offer.idempotent = true;
  offer.retry_percent = 100;
  offer.arrival = now;
  offer.on_time_until = now + milliseconds(200);
  offer.deadline = now + milliseconds(500);
  return offer;
}

EndpointReport MakeReport(int in_flight, double pace) {
  EndpointReport report;
  report.in_flight = in_flight;
  report.slots = 3;
  report.pace = pace;
  return report;
}

// Runs a balancer on endpoints that answer each probe at once with the report
// set by the test.
class Harness {
 public:
  explicit Harness(int endpoints) : balancer(MakeOptions(), 7) {
    balancer.SetService(MakeService(endpoints), 1, now);
    for (int n = 0; n < endpoints; ++n) {
      reports[static_cast<EndpointIndex>(n)] = MakeReport(0, 1);
    }
  }

  // Offers a call and answers probes until nothing more happens at this time.
  Decisions Offer(const CallOffer& offer) {
    Decisions out;
    balancer.Offer(offer, now, out);
    ServeProbes(out);
    return out;
  }
  void ServeProbes(Decisions& out) {
    while (const auto probe = balancer.NextProbe(now)) {
      ++probes;
      balancer.Report(*probe, reports.at(*probe), now, out);
    }
  }
  Decisions Tick(Duration passed) {
    now += passed;
    Decisions out;
    balancer.Tick(now, out);
    ServeProbes(out);
    return out;
  }
  AfterSend End(const CallOffer& offer,
                EndpointIndex endpoint,
                SendResult result,
                Decisions& out) {
    return balancer.Finish(offer,
                           {.token = offer.token,
                            .endpoint = endpoint,
                            .result = result,
                            .took = milliseconds(60),
                            .report = std::nullopt},
                           now, out);
  }

  MeasuredBalancer balancer;
  TimePoint now = kStart;
  std::map<EndpointIndex, EndpointReport> reports;
  int probes = 0;
};

TEST_CASE("a call goes to an endpoint that is not slow") {
  Harness harness(8);
  for (EndpointIndex n = 0; n < 8; ++n) {
    harness.reports[n] = MakeReport(0, n == 5 ? 1 : 7);
  }
  const Decisions out = harness.Offer(MakeCall(1, harness.now));
  REQUIRE(out.dispatches.size() == 1);
  CHECK(out.dispatches[0].endpoint == 5);
}

// Guards against calls that wait although no endpoint can accept them in time.
TEST_CASE("a call is refused at once if all endpoints state low limits") {
  constexpr int kEndpoints = 8;
  constexpr int kFleet = 400;
  Harness harness(kEndpoints);
  harness.balancer.SetService(MakeService(kEndpoints), kFleet, harness.now);
  for (EndpointIndex n = 0; n < kEndpoints; ++n) {
    harness.balancer.OnSignals(n, {.rate_limit = 1}, harness.now, harness.now);
  }
  const Decisions out = harness.Offer(MakeCall(1, harness.now));
  REQUIRE(out.rejections.size() == 1);
  CHECK(out.rejections[0].refusal == Refusal::kNoEndpoint);
  CHECK(out.rejections[0].retry_after >= milliseconds(150));
  CHECK(harness.probes == 0);
}

TEST_CASE(
    "a call is refused until the first pause ends if all endpoints pause") {
  constexpr int kEndpoints = 8;
  Harness harness(kEndpoints);
  for (EndpointIndex n = 0; n < kEndpoints; ++n) {
    harness.balancer.OnSignals(n, {.rest = milliseconds(600 + 10 * n)},
                               harness.now, harness.now);
  }
  const Decisions out = harness.Offer(MakeCall(1, harness.now));
  REQUIRE(out.rejections.size() == 1);
  CHECK(out.rejections[0].retry_after == milliseconds(600));
  CHECK(harness.probes == 0);
}

// Guards against calls to a leaving endpoint because a late answer, a probe or
// the list states that it serves.
TEST_CASE("an endpoint that announced that it is leaving gets no more calls") {
  constexpr int kEndpoints = 2;
  Harness harness(kEndpoints);
  harness.balancer.OnSignals(0, {.leaving = true}, harness.now, harness.now);
  CallToken token = 0;
  const auto check_not_called = [&] {
    const Decisions out = harness.Offer(MakeCall(++token, harness.now));
    for (const Dispatch& it : out.dispatches) {
      CHECK(it.endpoint == 1);
    }
  };
  check_not_called();
  harness.now += std::chrono::seconds(5);
  Decisions out;
  harness.balancer.OnSignals(0, {}, harness.now, harness.now);
  harness.balancer.Report(0, MakeReport(0, 1), harness.now, out);
  check_not_called();
  ServiceSpec service = MakeService(kEndpoints);
  service.endpoints[0].state = ListedState::kLeaving;
  harness.balancer.SetService(service, 1, harness.now);
  harness.balancer.SetService(MakeService(kEndpoints), 1, harness.now);
  check_not_called();
  service = MakeService(kEndpoints);
  service.endpoints[0].started_at += std::chrono::seconds(1);
  service.endpoints.pop_back();
  harness.balancer.SetService(service, 1, harness.now);
  CHECK(harness.Offer(MakeCall(++token, harness.now)).dispatches.size() == 1);
}

// Guards against a limit that is still in use long after its end, because no
// request is sent to an endpoint while others are free.
TEST_CASE("an endpoint with a limit gets its calls while others are free") {
  constexpr EndpointIndex kFar = 1;
  Harness harness(2);
  int calls_to_limited = 0;
  for (CallToken token = 1; token <= 400; ++token) {
    harness.balancer.OnSignals(kFar, {.rate_limit = 1}, harness.now,
                               harness.now);
    const CallOffer call = MakeCall(token, harness.now);
    Decisions out = harness.Offer(call);
    REQUIRE(out.dispatches.size() == 1);
    calls_to_limited += out.dispatches[0].endpoint == kFar ? 1 : 0;
    harness.End(call, out.dispatches[0].endpoint, SendResult::kAnswered, out);
    harness.now += milliseconds(50);
  }
  // Half of the limit is divided among the hosts: ten calls in twenty seconds
  // on average.
  CHECK(calls_to_limited >= 4);
  CHECK(calls_to_limited <= 20);
}

TEST_CASE("calls go to endpoints without a limit") {
  constexpr int kEndpoints = 8;
  Harness harness(kEndpoints);
  harness.balancer.SetService(MakeService(kEndpoints), 400, harness.now);
  for (EndpointIndex n = 1; n < kEndpoints; ++n) {
    harness.balancer.OnSignals(n, {.rate_limit = 1}, harness.now, harness.now);
  }
  for (CallToken token = 1; token < 4; ++token) {
    const Decisions out = harness.Offer(MakeCall(token, harness.now));
    REQUIRE(out.dispatches.size() == 1);
    CHECK(out.dispatches[0].endpoint == 0);
  }
}

// Guards against calls and probes to the endpoints of a drained zone. Calls in
// flight there complete; without another zone the caller is told that its call
// was not run; and the zone serves again when its drain ends.
TEST_CASE("a drained zone gets no calls and no probes") {
  Harness harness(8);
  const auto set_drained = [&](std::initializer_list<const char*> zones) {
    ServiceSpec service = MakeService(8);
    for (EndpointSpec& it : service.endpoints) {
      it.zone_drained = std::ranges::count(zones, it.zone.text()) > 0;
    }
    harness.balancer.SetService(service, 1, harness.now);
  };
  const CallOffer before = MakeCall(1, harness.now);
  Decisions out = harness.Offer(before);
  REQUIRE(out.dispatches.size() == 1);
  REQUIRE(out.dispatches[0].endpoint % 2 == 0);

  set_drained({"near"});
  for (CallToken token = 2; token < 8; ++token) {
    Decisions next;
    harness.balancer.Offer(MakeCall(token, harness.now), harness.now, next);
    while (const auto probe = harness.balancer.NextProbe(harness.now)) {
      CHECK(*probe % 2 == 1);
      harness.balancer.Report(*probe, MakeReport(0, 1), harness.now, next);
    }
    REQUIRE(next.dispatches.size() == 1);
    CHECK(next.dispatches[0].endpoint % 2 == 1);
  }
  CHECK(harness.End(before, out.dispatches[0].endpoint, SendResult::kAnswered,
                    out) == AfterSend::kDone);

  set_drained({"near", "far"});
  harness.Offer(MakeCall(8, harness.now));
  const Decisions refused = harness.Tick(milliseconds(200));
  REQUIRE(refused.rejections.size() == 1);
  CHECK(refused.rejections[0].refusal == Refusal::kNoEndpoint);

  set_drained({});
  harness.now += milliseconds(500);
  const Decisions back = harness.Offer(MakeCall(9, harness.now));
  REQUIRE(back.dispatches.size() == 1);
  CHECK(back.dispatches[0].endpoint % 2 == 0);
}

// Guards against crashes of endpoints, and of the calls in flight there, when
// the drain of their zone ends. That they are cold is known from the list, from
// their answers to probes or, before either, from the end of the drain. Until
// they are warm, calls go to other endpoints, and the first statement that they
// are warm ends it.
TEST_CASE(
    "a cold endpoint gets few calls, whichever source states that it is cold") {
  enum class Source : std::uint8_t { kList, kProbe, kDrain };
  for (const Source source : {Source::kList, Source::kProbe, Source::kDrain}) {
    Harness harness(2);
    ServiceSpec service = MakeService(2);
    service.cold_time = std::chrono::seconds(3);
    service.cold_rate = 2;
    service.endpoints[0].zone_drained = source == Source::kDrain;
    harness.balancer.SetService(service, 4, harness.now);
    service.endpoints[0].zone_drained = false;
    if (source == Source::kList) {
      service.endpoints[0].cold_until = harness.now + std::chrono::seconds(3);
    } else if (source == Source::kProbe) {
      harness.reports[0].cold_for = std::chrono::seconds(3);
    }
    harness.balancer.SetService(service, 4, harness.now);
    int calls_to_cold = 0;
    for (CallToken token = 1; token <= 100; ++token) {
      harness.now += milliseconds(20);
      const CallOffer call = MakeCall(token, harness.now);
      Decisions out = harness.Offer(call);
      REQUIRE(out.dispatches.size() == 1);
      calls_to_cold += out.dispatches[0].endpoint == 0 ? 1 : 0;
      harness.End(call, out.dispatches[0].endpoint, SendResult::kAnswered, out);
    }
    CHECK(calls_to_cold <= 3);
    harness.reports[0].cold_for = Duration::zero();
    harness.now += std::chrono::seconds(3);
    const Decisions out = harness.Offer(MakeCall(101, harness.now));
    REQUIRE(out.dispatches.size() == 1);
    CHECK(out.dispatches[0].endpoint == 0);
  }
}

// Guards against hosts that use the probe budget of the whole fleet when a seed
// that has just started counts only a few of them.
TEST_CASE("a smaller count of hosts does not raise the probe rate at once") {
  Harness harness(8);
  const auto rate = [&] {
    return harness.balancer.Status(harness.now).table.probes_per_second;
  };
  harness.balancer.SetService(MakeService(8), 100, harness.now);
  const double before = rate();
  harness.now += std::chrono::seconds(1);
  harness.balancer.SetService(MakeService(8), 2, harness.now);
  CHECK(rate() <= before);
  harness.balancer.SetService(MakeService(8), 100, harness.now);
  CHECK(rate() <= before);
  harness.now += std::chrono::minutes(1);
  harness.balancer.SetService(MakeService(8), 50, harness.now);
  harness.now += std::chrono::minutes(1);
  harness.balancer.SetService(MakeService(8), 50, harness.now);
  CHECK(rate() > before);
}

// Guards against a host that sends too many calls because it reads an answer
// late: the endpoint stated that it was warm before it became cold.
TEST_CASE("an answer to a probe does not override a later statement") {
  Harness harness(8);
  ServiceSpec service = MakeService(8);
  service.cold_rate = 2;
  harness.balancer.SetService(service, 100, harness.now);
  service.endpoints[0].cold_until = harness.now + std::chrono::seconds(3);
  harness.balancer.SetService(service, 100, harness.now);
  EndpointReport late = MakeReport(0, 1);
  late.cold_for = Duration::zero();
  late.asked_before = milliseconds(300);
  harness.now += milliseconds(200);
  Decisions out;
  harness.balancer.Report(0, late, harness.now, out);
  int calls_to_cold = 0;
  for (CallToken token = 1; token <= 8; ++token) {
    harness.now += milliseconds(4);
    const CallOffer call = MakeCall(token, harness.now);
    Decisions placed = harness.Offer(call);
    REQUIRE(placed.dispatches.size() == 1);
    calls_to_cold += placed.dispatches[0].endpoint == 0 ? 1 : 0;
    harness.End(call, placed.dispatches[0].endpoint, SendResult::kAnswered,
                placed);
  }
  CHECK(calls_to_cold <= 1);
}

// Guards against calls that wait although all endpoints of a service are cold
// and have received what they tolerate from this host. The calls are refused
// instead, and the first endpoint that accepts a call again gets one.
TEST_CASE(
    "calls are refused if all endpoints are cold and their rate is used up") {
  Harness harness(1);
  ServiceSpec service = MakeService(1);
  service.cold_rate = 1;
  service.endpoints[0].cold_until = harness.now + std::chrono::seconds(3);
  harness.balancer.SetService(service, 1, harness.now);
  CallOffer call = MakeCall(1, harness.now);
  Decisions out = harness.Offer(call);
  REQUIRE(out.dispatches.size() == 1);
  harness.End(call, 0, SendResult::kAnswered, out);
  harness.Offer(MakeCall(2, harness.now));
  const Decisions refused = harness.Tick(milliseconds(200));
  REQUIRE(refused.rejections.size() == 1);
  CHECK(harness.Offer(MakeCall(3, harness.now)).rejections.size() == 1);
  harness.now += milliseconds(900);
  CHECK(harness.Offer(MakeCall(4, harness.now)).dispatches.size() == 1);
}

// Guards against a call that runs in a region that its route does not allow,
// because the other region is near, free or the only one left. Such a call goes
// to the allowed region under any load. If that region has no endpoint, the
// caller is told at once that the call was not run. It does not block calls
// that may run anywhere.
TEST_CASE("calls stay in the regions that their route allows") {
  Harness harness(8);
  ServiceSpec service = MakeService(8);
  for (EndpointSpec& it : service.endpoints) {
    it.region = RegionId(it.zone.text() == "near" ? "here" : "there");
  }
  harness.balancer.SetService(service, 1, harness.now);
  for (CallToken token = 1; token < 20; ++token) {
    CallOffer call = MakeCall(token, harness.now);
    call.allowed_regions = {RegionId("there")};
    const Decisions out = harness.Offer(call);
    for (const Dispatch& it : out.dispatches) {
      CHECK(harness.balancer.endpoint(it.endpoint).region == RegionId("there"));
    }
    CHECK(out.dispatches.size() + out.rejections.size() == 1);
    harness.now += milliseconds(5);
  }
  CallOffer nowhere = MakeCall(20, harness.now);
  nowhere.allowed_regions = {RegionId("elsewhere")};
  const Decisions refused = harness.Offer(nowhere);
  REQUIRE(refused.rejections.size() == 1);
  CHECK(refused.rejections[0].refusal == Refusal::kNoEndpoint);
  CHECK(harness.Offer(MakeCall(21, harness.now)).dispatches.size() == 1);
}

// Guards against calls that are refused although most endpoints are free. One
// endpoint is gone and its address belongs to another, while the list still
// contains it for seconds. No call goes there again in that time, and none
// after a probe that shows it.
TEST_CASE("an endpoint whose address was reassigned gets no calls") {
  for (const bool by_probe : {false, true}) {
    Harness harness(4);
    CallOffer call = MakeCall(1, harness.now);
    call.idempotent = false;
    Decisions out = harness.Offer(call);
    REQUIRE(out.dispatches.size() == 1);
    const EndpointIndex gone = out.dispatches[0].endpoint;
    if (by_probe) {
      harness.balancer.ProbeFailed(gone, SendResult::kMisdirected, harness.now,
                                   out);
    } else {
      CHECK(harness.End(call, gone, SendResult::kMisdirected, out) ==
            AfterSend::kRetry);
    }
    for (CallToken token = 2; token < 40; ++token) {
      harness.now += milliseconds(50);
      const CallOffer later = MakeCall(token, harness.now);
      Decisions next = harness.Offer(later);
      REQUIRE(next.dispatches.size() == 1);
      const EndpointIndex chosen = next.dispatches[0].endpoint;
      CHECK(chosen != gone);
      harness.End(later, chosen, SendResult::kAnswered, next);
    }
  }
}

// Guards against decisions based on the previous process of an endpoint, which
// was busy and failing, or free and warm. A new process with the same id and
// address is empty, cold, and has refused no call.
TEST_CASE("a new process does not inherit the state of the previous one") {
  Harness harness(4);
  ServiceSpec service = MakeService(4);
  CallOffer call = MakeCall(1, harness.now);
  call.idempotent = false;
  const Decisions out = harness.Offer(call);
  REQUIRE(out.dispatches.size() == 1);
  const EndpointIndex former = out.dispatches[0].endpoint;
  const EndpointId id = harness.balancer.endpoint(former).id;
  for (EndpointSpec& it : service.endpoints) {
    if (it.id == id) {
      it.started_at += milliseconds(1);
    }
  }
  harness.balancer.SetService(service, 1, harness.now);
  int known = 0;
  for (const EndpointStatus& it :
       harness.balancer.Status(harness.now).table.endpoints) {
    if (it.id == id) {
      ++known;
      CHECK(it.own_in_flight == 0);
      CHECK(it.report_age < Duration::zero());
      CHECK(it.state == "starting");
    }
  }
  CHECK(known == 1);
  // The end of the call to the previous process is no evidence for the new one.
  Decisions after;
  harness.End(call, former, SendResult::kBroken, after);
  for (const EndpointStatus& it :
       harness.balancer.Status(harness.now).table.endpoints) {
    CHECK(it.own_in_flight == 0);
  }
}

TEST_CASE(
    "a near endpoint is preferred to an equally free one in another zone") {
  for (int n = 0; n < 50; ++n) {
    Harness harness(8);
    const Decisions out = harness.Offer(MakeCall(1, harness.now));
    REQUIRE(out.dispatches.size() == 1);
    CHECK(harness.balancer.endpoint(out.dispatches[0].endpoint).zone ==
          ZoneId("near"));
  }
}

TEST_CASE("no probes are sent with a fresh report of a good endpoint") {
  Harness harness(8);
  harness.Offer(MakeCall(1, harness.now));
  const int before = harness.probes;
  harness.Offer(MakeCall(2, harness.now));
  CHECK(harness.probes == before);
}

// Guards against a call that waits for its deadline although every slot and
// queue is in use, so that it would miss its objective at every endpoint. It is
// refused early with the time of a useful retry, since waiting would only
// reduce the time left for it.
TEST_CASE("a call that no endpoint can serve in time is refused early") {
  Harness harness(4);
  for (EndpointIndex n = 0; n < 4; ++n) {
    harness.reports[n] = MakeReport(12, 7);
  }
  const CallOffer call = MakeCall(1, harness.now);
  Decisions out = harness.Offer(call);
  for (int n = 0; n < 20 && out.rejections.empty(); ++n) {
    out = harness.Tick(milliseconds(5));
  }
  REQUIRE(out.rejections.size() == 1);
  CHECK(out.dispatches.empty());
  CHECK(out.rejections[0].refusal == Refusal::kShed);
  CHECK(out.rejections[0].retry_after > Duration::zero());
  CHECK(harness.now - call.arrival <= milliseconds(40));
}

// Guards against late calls while endpoints refuse four calls in ten although
// they have room, and the retry budget is spent. A caller that is told to wait
// for one second is late, while another endpoint could take its call now.
TEST_CASE(
    "a caller refused by one endpoint may return soon if others have room") {
  Harness harness(8);
  const CallOffer call = MakeCall(1, harness.now);
  const Decisions out = harness.Offer(call);
  REQUIRE(out.dispatches.size() == 1);
  const SendEnd end{.token = 1,
                    .endpoint = out.dispatches[0].endpoint,
                    .result = SendResult::kShed,
                    .took = milliseconds(2),
                    .report = std::nullopt};
  CHECK(harness.balancer.RetryAfterSend(call, end, harness.now) <=
        milliseconds(50));
}

// If every slot and queue of the service is in use, the caller is told to
// return when its call could complete in time.
TEST_CASE("a caller refused by one endpoint waits if all are full") {
  Harness harness(4);
  for (EndpointIndex n = 0; n < 4; ++n) {
    harness.reports[n] = MakeReport(12, 7);
  }
  const CallOffer call = MakeCall(1, harness.now);
  harness.Offer(call);
  const SendEnd end{.token = 1,
                    .endpoint = 0,
                    .result = SendResult::kShed,
                    .took = milliseconds(2),
                    .report = std::nullopt};
  CHECK(harness.balancer.RetryAfterSend(call, end, harness.now) >
        milliseconds(100));
}

// Guards against calls that are cut because an endpoint that is being replaced
// receives calls until it stops. The store announces that it is leaving while a
// call is in flight; the answer to that call arrives without a report and was
// taken as a sign that the endpoint serves again.
TEST_CASE("an answer does not return a leaving endpoint to service") {
  Harness harness(2);
  const CallOffer call = MakeCall(1, harness.now);
  const Decisions out = harness.Offer(call);
  REQUIRE(out.dispatches.size() == 1);
  const EndpointIndex endpoint = out.dispatches[0].endpoint;
  ServiceSpec service = MakeService(2);
  service.endpoints[endpoint].state = ListedState::kLeaving;
  harness.balancer.SetService(service, 1, harness.now);
  Decisions ignored;
  harness.End(call, endpoint, SendResult::kAnswered, ignored);
  for (CallToken token = 2; token < 40; ++token) {
    harness.now += milliseconds(50);
    const Decisions next = harness.Offer(MakeCall(token, harness.now));
    for (const Dispatch& it : next.dispatches) {
      CHECK(it.endpoint != endpoint);
    }
  }
}

TEST_CASE(
    "an endpoint that has just joined gets a call while others are free") {
  Harness harness(6);
  harness.Offer(MakeCall(1, harness.now));
  harness.now += std::chrono::seconds(10);
  harness.balancer.SetService(MakeService(7), 1, harness.now);
  harness.reports[6] = MakeReport(0, 1);
  bool is_used = false;
  for (CallToken token = 2; token < 12 && !is_used; ++token) {
    harness.now += milliseconds(100);
    const CallOffer call = MakeCall(token, harness.now);
    const Decisions out = harness.Offer(call);
    REQUIRE(out.dispatches.size() == 1);
    is_used = out.dispatches[0].endpoint == 6;
    Decisions ignored;
    harness.End(call, out.dispatches[0].endpoint, SendResult::kAnswered,
                ignored);
  }
  CHECK(is_used);
}

TEST_CASE("calls move from an endpoint that keeps failing to the others") {
  Harness harness(4);
  int calls_to_failing = 0;
  for (CallToken token = 1; token < 200; ++token) {
    harness.now += milliseconds(20);
    const CallOffer call = MakeCall(token, harness.now);
    Decisions out = harness.Offer(call);
    REQUIRE(out.dispatches.size() == 1);
    const EndpointIndex endpoint = out.dispatches[0].endpoint;
    const bool fails = endpoint == 0;
    calls_to_failing += fails ? 1 : 0;
    Decisions after;
    harness.End(call, endpoint,
                fails ? SendResult::kBroken : SendResult::kAnswered, after);
    harness.balancer.Withdraw(token, harness.now);
  }
  CHECK(calls_to_failing < 20);
}

TEST_CASE("calls are refused after a short wait if there is no endpoint") {
  Harness harness(0);
  Decisions out = harness.Offer(MakeCall(1, harness.now));
  CHECK(out.rejections.empty());
  out = harness.Tick(milliseconds(160));
  REQUIRE(out.rejections.size() == 1);
  CHECK(out.rejections[0].refusal == Refusal::kNoEndpoint);
}

// Guards against a refusal that comes 25 ms late, so that the caller has that
// much less time at another host. Every endpoint has reported that it is full,
// none is left to probe, and no report to come can be better in time.
TEST_CASE(
    "a call is refused at once if all endpoints report that they are full") {
  Harness harness(4);
  for (EndpointIndex n = 0; n < 4; ++n) {
    harness.reports[n] = MakeReport(9, 1);
  }
  const Decisions out = harness.Offer(MakeCall(1, harness.now));
  CHECK(out.dispatches.empty());
  REQUIRE(out.rejections.size() == 1);
  CHECK(out.rejections[0].retry_after > Duration::zero());
}

// Guards against probes above the limit of an endpoint: when all endpoints are
// full under constant load, each host would probe all the time. The hosts
// together keep to the limit for any number of hosts, and a host that has just
// started has no saved budget.
TEST_CASE("probes stay within the fleet's limit under any load") {
  constexpr double kSeconds = 4;
  constexpr int kEndpoints = 4;
  const MeasuredBalancerOptions options;
  for (const int hosts : {1, 4, 20}) {
    Harness harness(kEndpoints);
    harness.balancer.SetService(MakeService(kEndpoints), hosts, harness.now);
    for (EndpointIndex n = 0; n < kEndpoints; ++n) {
      harness.reports[n] = MakeReport(12, 7);
    }
    for (CallToken token = 1; token < 1000 * kSeconds; ++token) {
      harness.now += milliseconds(1);
      harness.Offer(MakeCall(token, harness.now));
    }
    const double part =
        options.probe_limit * options.probe_part * kEndpoints / hosts;
    CHECK(harness.probes <= kSeconds * part + options.probe_burst);
  }
}

// After 15 seconds without load, most endpoints are slow for a second: the
// unspent budget is available to find the few good ones.
TEST_CASE("unspent probe budget is available when endpoints are slow") {
  constexpr int kHosts = 15;
  constexpr int kEndpoints = 15;
  Harness harness(kEndpoints);
  harness.balancer.SetService(MakeService(kEndpoints), kHosts, harness.now);
  harness.now += std::chrono::seconds(15);
  for (EndpointIndex n = 0; n < kEndpoints; ++n) {
    harness.reports[n] = MakeReport(n == 3 ? 0 : 12, n == 3 ? 1 : 7);
  }
  int found = 0;
  for (CallToken token = 1; token <= 10; ++token) {
    harness.now += milliseconds(100);
    const CallOffer call = MakeCall(token, harness.now);
    Decisions out = harness.Offer(call);
    if (out.dispatches.size() == 1) {
      const EndpointIndex endpoint = out.dispatches[0].endpoint;
      found += endpoint == 3;
      harness.End(call, endpoint, SendResult::kAnswered, out);
    }
  }
  CHECK(found == 10);
}

// Guards against a host that probes all other endpoints while the answers to
// its first probes are unread for 30 ms, since it has just started or gets a
// third of its processor time. The additional probes took the time in which it
// could have read the answers.
TEST_CASE("a host with overdue probes does not probe all other endpoints") {
  Harness harness(40);
  Decisions out;
  harness.balancer.Offer(MakeCall(1, harness.now), harness.now, out);
  int asked = 0;
  for (int n = 0; n < 23; ++n) {
    while (harness.balancer.NextProbe(harness.now)) {
      ++asked;
    }
    harness.now += milliseconds(1);
    harness.balancer.Tick(harness.now, out);
  }
  CHECK(out.dispatches.empty());
  CHECK(asked <= 9);
}

// Guards against probes of every endpoint in all zones for one call: half of
// the service was replaced, and all endpoints that a host prefers take twice as
// long while they are cold. A call of 60 ms is still on time there.
TEST_CASE("three rounds of probes suffice if the best endpoint is on time") {
  Harness harness(40);
  for (EndpointIndex n = 0; n < 40; ++n) {
    harness.reports[n] = MakeReport(0, 2);
  }
  const Decisions out = harness.Offer(MakeCall(1, harness.now));
  CHECK(out.dispatches.size() == 1);
  CHECK(harness.probes <= 15);
}

// Guards against a host that opens a connection to each endpoint of its zone in
// every burst, because it probes any other endpoint when the preferred ones are
// full.
TEST_CASE("successive bursts use the same endpoints") {
  constexpr int kEndpoints = 80;
  Harness harness(kEndpoints);
  harness.now += std::chrono::seconds(10);
  std::set<EndpointIndex> first;
  for (CallToken token = 1; token <= 100; ++token) {
    harness.now += milliseconds(200);
    Decisions out;
    harness.balancer.Offer(MakeCall(token, harness.now), harness.now, out);
    while (const auto probe = harness.balancer.NextProbe(harness.now)) {
      first.insert(*probe);
      harness.balancer.Report(*probe, MakeReport(first.size() > 8 ? 0 : 3, 1),
                              harness.now, out);
    }
    REQUIRE(out.dispatches.size() == 1);
    harness.End(MakeCall(token, harness.now), out.dispatches[0].endpoint,
                SendResult::kAnswered, out);
  }
  CHECK(first.size() <= 20);
}

// Guards against late answers while hundreds of endpoints join. They are free
// but slow, and received calls that others would have completed on time.
TEST_CASE("endpoints that have just started get no calls until they are warm") {
  constexpr EndpointIndex kBefore = 40;
  constexpr EndpointIndex kAfter = 60;
  Harness harness(kAfter);
  harness.balancer.SetService(MakeService(kBefore), 1, harness.now);
  harness.now += std::chrono::seconds(10);
  ServiceSpec service = MakeService(kAfter);
  for (EndpointIndex n = kBefore; n < kAfter; ++n) {
    service.endpoints[n].id = EndpointId("joined" + std::to_string(n));
    service.endpoints[n].cold_until = harness.now + std::chrono::seconds(3);
  }
  harness.balancer.SetService(service, 1, harness.now);
  const auto count_at_joined = [&](CallToken first) {
    int calls_to_joined = 0;
    for (CallToken token = first; token < first + 100; ++token) {
      harness.now += milliseconds(20);
      const CallOffer offer = MakeCall(token, harness.now);
      Decisions out = harness.Offer(offer);
      REQUIRE(out.dispatches.size() == 1);
      const EndpointIndex endpoint = out.dispatches[0].endpoint;
      const EndpointId& id = harness.balancer.endpoint(endpoint).id;
      calls_to_joined += id.text().starts_with("joined") ? 1 : 0;
      harness.End(offer, endpoint, SendResult::kAnswered, out);
    }
    return calls_to_joined;
  };
  CHECK(count_at_joined(1) == 0);
  harness.now += std::chrono::seconds(2);
  CHECK(count_at_joined(1000) > 0);
}

// Twenty endpoints join a service of eighty, which many hosts use. Each host
// probes only those that are in its first preference group.
TEST_CASE("endpoints that join are probed by the hosts that prefer them") {
  constexpr int kBefore = 80;
  constexpr int kAfter = 100;
  constexpr int kHosts = 30;
  std::map<EndpointIndex, int> probes_by_endpoint;
  for (int host = 0; host < kHosts; ++host) {
    MeasuredBalancerOptions options = MakeOptions();
    options.host = HostId("h" + std::to_string(host));
    MeasuredBalancer balancer(options, 7);
    TimePoint now = kStart;
    balancer.SetService(MakeService(kBefore), kHosts, now);
    now += std::chrono::seconds(10);
    balancer.SetService(MakeService(kAfter), kHosts, now);
    for (CallToken token = 1; token <= 30; ++token) {
      now += milliseconds(200);
      Decisions out;
      balancer.Offer(MakeCall(token, now), now, out);
      while (const auto probe = balancer.NextProbe(now)) {
        if (*probe >= kBefore) {
          ++probes_by_endpoint[*probe];
        }
        balancer.Report(*probe, MakeReport(0, 1), now, out);
      }
    }
  }
  // Each of the twenty is probed, and not by every host.
  CHECK(probes_by_endpoint.size() == kAfter - kBefore);
  for (const auto& [endpoint, probe_count] : probes_by_endpoint) {
    CHECK(probe_count < kHosts * 3);
  }
}

// Guards against calls that are refused at idle endpoints because none of them
// reports its load: a probe that is answered without a report counted as a
// failure of the endpoint, and calls that had ended counted as running there.
TEST_CASE("calls to idle endpoints that never report are served") {
  constexpr int kCalls = 200;
  constexpr Duration kExecution = milliseconds(160);
  for (const int slots : {1, 2, 4}) {
    ServiceSpec service = MakeService(5);
    for (EndpointSpec& it : service.endpoints) {
      it.slots = slots;
    }
    MeasuredBalancer balancer(MakeOptions(), 7);
    TimePoint now = kStart;
    balancer.SetService(service, 1, now);
    std::map<CallToken, CallOffer> calls;
    std::multimap<TimePoint, SendEnd> ends;
    int served = 0;
    for (CallToken token = 1; now < kStart + milliseconds(100) * (kCalls + 10);
         now += milliseconds(2)) {
      Decisions out;
      while (!ends.empty() && ends.begin()->first <= now) {
        const SendEnd end = ends.begin()->second;
        ends.erase(ends.begin());
        served += now <= calls.at(end.token).on_time_until ? 1 : 0;
        balancer.Finish(calls.at(end.token), end, now, out);
      }
      if (token <= kCalls && now >= kStart + milliseconds(100) * token) {
        CallOffer offer = MakeCall(token, now);
        offer.on_time_until = now + milliseconds(400);
        offer.deadline = now + milliseconds(1200);
        calls[token++] = offer;
        balancer.Offer(offer, now, out);
      }
      balancer.Tick(now, out);
      while (const auto probe = balancer.NextProbe(now)) {
        balancer.ProbeFailed(*probe, SendResult::kAnswered, now, out);
      }
      for (const Dispatch& it : out.dispatches) {
        ends.emplace(now + kExecution, SendEnd{.token = it.token,
                                               .endpoint = it.endpoint,
                                               .took = kExecution,
                                               .report = std::nullopt});
      }
    }
    CHECK(served >= kCalls * 99 / 100);
  }
}

}  // namespace
}  // namespace damasktack
