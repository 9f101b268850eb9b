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

// Endpoints that answer each probe at once with what the test has set.
class Harness {
 public:
  explicit Harness(int endpoints) : balancer(MakeOptions(), 7) {
    balancer.SetService(MakeService(endpoints), 1, now);
    for (int n = 0; n < endpoints; ++n) {
      reports[static_cast<EndpointIndex>(n)] = MakeReport(0, 1);
    }
  }

  // Offers a call and serves probes until nothing more happens at this time.
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

TEST_CASE("a call goes to an endpoint that works at its usual pace") {
  Harness harness(8);
  for (EndpointIndex n = 0; n < 8; ++n) {
    harness.reports[n] = MakeReport(0, n == 5 ? 1 : 7);
  }
  const Decisions out = harness.Offer(MakeCall(1, harness.now));
  REQUIRE(out.dispatches.size() == 1);
  CHECK(out.dispatches[0].endpoint == 5);
}

// A call that nobody takes for a while is not to wait for it in vain.
TEST_CASE("where all endpoints state low limits a call is refused at once") {
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

TEST_CASE("where all endpoints rest a call is refused for as long at once") {
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

// Guards against an endpoint that is called again because a late answer, a
// probe or the list says that it serves.
TEST_CASE("an endpoint that said that it leaves gets no more calls") {
  constexpr int kEndpoints = 2;
  Harness harness(kEndpoints);
  harness.balancer.OnSignals(0, {.leaving = true}, harness.now, harness.now);
  CallToken token = 0;
  const auto check_left_alone = [&] {
    const Decisions out = harness.Offer(MakeCall(++token, harness.now));
    for (const Dispatch& it : out.dispatches) {
      CHECK(it.endpoint == 1);
    }
  };
  check_left_alone();
  harness.now += std::chrono::seconds(5);
  Decisions out;
  harness.balancer.OnSignals(0, {}, harness.now, harness.now);
  harness.balancer.Report(0, MakeReport(0, 1), harness.now, out);
  check_left_alone();
  ServiceSpec service = MakeService(kEndpoints);
  service.endpoints[0].state = ListedState::kLeaving;
  harness.balancer.SetService(service, 1, harness.now);
  harness.balancer.SetService(MakeService(kEndpoints), 1, harness.now);
  check_left_alone();
  service = MakeService(kEndpoints);
  service.endpoints[0].started_at += std::chrono::seconds(1);
  service.endpoints.pop_back();
  harness.balancer.SetService(service, 1, harness.now);
  CHECK(harness.Offer(MakeCall(++token, harness.now)).dispatches.size() == 1);
}

// Guards against a limit that stands long after its end, because nobody asks an
// endpoint that others make needless.
TEST_CASE("an endpoint with a limit gets what it takes while others are free") {
  constexpr EndpointIndex kFar = 1;
  Harness harness(2);
  int to_limited = 0;
  for (CallToken token = 1; token <= 400; ++token) {
    harness.balancer.OnSignals(kFar, {.rate_limit = 1}, harness.now,
                               harness.now);
    const CallOffer call = MakeCall(token, harness.now);
    Decisions out = harness.Offer(call);
    REQUIRE(out.dispatches.size() == 1);
    to_limited += out.dispatches[0].endpoint == kFar ? 1 : 0;
    harness.End(call, out.dispatches[0].endpoint, SendResult::kAnswered, out);
    harness.now += milliseconds(50);
  }
  // Half of the limit is shared out: ten calls in twenty seconds on average.
  CHECK(to_limited >= 4);
  CHECK(to_limited <= 20);
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

// The operator has drained a zone for a repair, and calls still go there, or
// looks at its endpoints do. What is in hand there ends in peace; with nothing
// left the caller hears that its call was not run; and the zone serves again
// once it is given back.
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

// The endpoints of a zone that was given back crash at once, and with them the
// calls that they had. The word that they are cold comes with the list, with
// their answers to probes or, before either, from the end of the drain; until
// they are warm, calls go to the others, and the first word that they are warm
// ends it.
TEST_CASE("a cold endpoint gets few calls, from whatever its state is known") {
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
    int to_cold = 0;
    for (CallToken token = 1; token <= 100; ++token) {
      harness.now += milliseconds(20);
      const CallOffer call = MakeCall(token, harness.now);
      Decisions out = harness.Offer(call);
      REQUIRE(out.dispatches.size() == 1);
      to_cold += out.dispatches[0].endpoint == 0 ? 1 : 0;
      harness.End(call, out.dispatches[0].endpoint, SendResult::kAnswered, out);
    }
    CHECK(to_cold <= 3);
    harness.reports[0].cold_for = Duration::zero();
    harness.now += std::chrono::seconds(3);
    const Decisions out = harness.Offer(MakeCall(101, harness.now));
    REQUIRE(out.dispatches.size() == 1);
    CHECK(out.dispatches[0].endpoint == 0);
  }
}

// Guards against hosts that probe for the whole fleet when a seed that has just
// started has counted few of them.
TEST_CASE("a host that hears of a smaller fleet does not probe more at once") {
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

// Guards against a flood by a host that reads late what an endpoint said before
// it became cold, and takes that for the end of it.
TEST_CASE("an answer to a probe does not unsay what was told after it") {
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
  int to_cold = 0;
  for (CallToken token = 1; token <= 8; ++token) {
    harness.now += milliseconds(4);
    const CallOffer call = MakeCall(token, harness.now);
    Decisions placed = harness.Offer(call);
    REQUIRE(placed.dispatches.size() == 1);
    to_cold += placed.dispatches[0].endpoint == 0 ? 1 : 0;
    harness.End(call, placed.dispatches[0].endpoint, SendResult::kAnswered,
                placed);
  }
  CHECK(to_cold <= 1);
}

// All endpoints of a service are cold and each has had what it tolerates from
// this host. Calls wait without an end for a place that will not come in their
// time; they are refused instead, and the first place that there is serves.
TEST_CASE("calls are refused where all endpoints are cold and spent") {
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

// A request is worked on in a region that its route does not allow: the other
// region is near, free or the only one left. Such a call goes to the allowed
// region however full that is, is told at once that it was not run where that
// has no endpoint, and does not stop calls that may go anywhere.
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

// A dock command is refused although most endpoints are free. One of them is
// gone, the address is another's, and the list says so seconds later: no call
// tries it again before that, and none after a look at it.
TEST_CASE("an endpoint whose address is another's takes no calls") {
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

// A call goes to an endpoint that is taken for busy and failing, or for free
// and warm, by what the process before it was. Under the same id and address it
// has started again: it is empty, cold, and has refused nobody.
TEST_CASE("what is known of a process does not hold for the one after it") {
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
  // The end of the call to the former process says nothing of the new one.
  Decisions after;
  harness.End(call, former, SendResult::kBroken, after);
  for (const EndpointStatus& it :
       harness.balancer.Status(harness.now).table.endpoints) {
    CHECK(it.own_in_flight == 0);
  }
}

TEST_CASE("a near endpoint goes first while it is as free as a far one") {
  for (int n = 0; n < 50; ++n) {
    Harness harness(8);
    const Decisions out = harness.Offer(MakeCall(1, harness.now));
    REQUIRE(out.dispatches.size() == 1);
    CHECK(harness.balancer.endpoint(out.dispatches[0].endpoint).zone ==
          ZoneId("near"));
  }
}

TEST_CASE("a fresh report of a good endpoint saves the probes") {
  Harness harness(8);
  harness.Offer(MakeCall(1, harness.now));
  const int before = harness.probes;
  harness.Offer(MakeCall(2, harness.now));
  CHECK(harness.probes == before);
}

// The caller is told at once that a command did not run, with a time at which
// it has a chance. Every slot and queue is taken, so the command would end
// after its objective wherever it went; waiting for the deadline would only
// take away the caller's time to try again.
TEST_CASE("a call that nobody can serve in time is refused early") {
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

// Endpoints refuse four calls in ten although they have room, and the budget
// for repeats is spent. The caller comes back once; told to wait for a second
// it would be late, while another endpoint could take its call now.
TEST_CASE("a caller that one endpoint refused comes back while there is room") {
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

// A service of which every slot and queue is taken: the caller is told to come
// back when its call could end in time.
TEST_CASE("a caller that one endpoint refused waits while all are full") {
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

// A replaced endpoint goes on getting calls until it stops, and these are cut.
// The store says that it leaves while a call is under way there; the answer to
// that call comes without a report and was taken for a sign that the endpoint
// serves again.
TEST_CASE("an answer does not bring back an endpoint that leaves") {
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

TEST_CASE("an endpoint that keeps failing loses its calls to the others") {
  Harness harness(4);
  int at_failing = 0;
  for (CallToken token = 1; token < 200; ++token) {
    harness.now += milliseconds(20);
    const CallOffer call = MakeCall(token, harness.now);
    Decisions out = harness.Offer(call);
    REQUIRE(out.dispatches.size() == 1);
    const EndpointIndex endpoint = out.dispatches[0].endpoint;
    const bool fails = endpoint == 0;
    at_failing += fails ? 1 : 0;
    Decisions after;
    harness.End(call, endpoint,
                fails ? SendResult::kBroken : SendResult::kAnswered, after);
    harness.balancer.Withdraw(token, harness.now);
  }
  CHECK(at_failing < 20);
}

TEST_CASE("no endpoint is left: calls are refused after a short wait") {
  Harness harness(0);
  Decisions out = harness.Offer(MakeCall(1, harness.now));
  CHECK(out.rejections.empty());
  out = harness.Tick(milliseconds(160));
  REQUIRE(out.rejections.size() == 1);
  CHECK(out.rejections[0].refusal == Refusal::kNoEndpoint);
}

// A caller waits for a refusal that was certain 25 ms before, and comes back to
// another host with that much less of its time. Every endpoint has said that it
// is full, nothing is left to ask, and no report that comes can be better in
// time.
TEST_CASE("a call that nobody can serve in time is refused at once") {
  Harness harness(4);
  for (EndpointIndex n = 0; n < 4; ++n) {
    harness.reports[n] = MakeReport(9, 1);
  }
  const Decisions out = harness.Offer(MakeCall(1, harness.now));
  CHECK(out.dispatches.empty());
  REQUIRE(out.rejections.size() == 1);
  CHECK(out.rejections[0].retry_after > Duration::zero());
}

// All endpoints are full and calls pour in, so each host would probe all the
// time. The hosts together keep to the limit of each endpoint, however many
// they are, and a host that has just started has saved up nothing.
TEST_CASE("probes stay within the fleet's limit whatever arrives") {
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

// A quarter of a minute of quiet, then a bad second in which most endpoints are
// slow: what was not spent is there to find the few good ones.
TEST_CASE("probes that a quiet time saved serve a bad second") {
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

// A caller waits, and every other call of the host with it. The host has just
// started, or gets a third of its processor time, and the answers to its first
// probes stand unread for 30 ms. Asking all other endpoints meanwhile took the
// time in which it could have read them.
TEST_CASE("a host that is behind with its probes asks no storm of others") {
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

// Half of a service was replaced, and all that a host looks at first works at
// half of the usual speed while it is cold; a call of 60 ms is on time there.
// One call had every endpoint of all zones probed.
TEST_CASE("three looks are enough where the best of them is on time") {
  Harness harness(40);
  for (EndpointIndex n = 0; n < 40; ++n) {
    harness.reports[n] = MakeReport(0, 2);
  }
  const Decisions out = harness.Offer(MakeCall(1, harness.now));
  CHECK(out.dispatches.size() == 1);
  CHECK(harness.probes <= 15);
}

// In a burst the endpoints that a host turns to first are full. Looking at any
// other one it opened a connection to each of its zone, burst after burst.
TEST_CASE("bursts turn to the same endpoints again") {
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

// Guards against late answers while hundreds of endpoints join: they are free
// and slow, and got calls that others would have ended on time.
TEST_CASE(
    "endpoints that have just started wait for calls until they are warm") {
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
    int at_joined = 0;
    for (CallToken token = first; token < first + 100; ++token) {
      harness.now += milliseconds(20);
      const CallOffer offer = MakeCall(token, harness.now);
      Decisions out = harness.Offer(offer);
      REQUIRE(out.dispatches.size() == 1);
      const EndpointIndex endpoint = out.dispatches[0].endpoint;
      const EndpointId& id = harness.balancer.endpoint(endpoint).id;
      at_joined += id.text().starts_with("joined") ? 1 : 0;
      harness.End(offer, endpoint, SendResult::kAnswered, out);
    }
    return at_joined;
  };
  CHECK(count_at_joined(1) == 0);
  harness.now += std::chrono::seconds(2);
  CHECK(count_at_joined(1000) > 0);
}

// Twenty endpoints join a service of eighty on which a hundred hosts place
// calls. Each host looks only at those that it will turn to later.
TEST_CASE("endpoints that join are looked at by the hosts that favour them") {
  constexpr int kBefore = 80;
  constexpr int kAfter = 100;
  constexpr int kHosts = 30;
  std::map<EndpointIndex, int> hosts_that_look;
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
          ++hosts_that_look[*probe];
        }
        balancer.Report(*probe, MakeReport(0, 1), now, out);
      }
    }
  }
  // Each of the twenty is looked at, and not by each host.
  CHECK(hosts_that_look.size() == kAfter - kBefore);
  for (const auto& [endpoint, looks] : hosts_that_look) {
    CHECK(looks < kHosts * 3);
  }
}

}  // namespace
}  // namespace damasktack
