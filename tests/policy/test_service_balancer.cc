#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

#include "policy/service_balancer.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

ServiceSpec Service(int endpoints, std::int64_t slots) {
  ServiceSpec service;
  service.id = ServiceId("dispatch");
  for (int n = 0; n < endpoints; ++n) {
    EndpointSpec spec;
    spec.id = EndpointId("e" + std::to_string(n));
    spec.address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + n)};
    spec.slots = slots;
    service.endpoints.push_back(spec);
  }
  return service;
}

CallOffer OfferOf(CallToken token, Urgency urgency, TimePoint now) {
  CallOffer offer;
  offer.token = token;
  offer.customer = CustomerId("park");
  offer.urgency = urgency;
  offer.arrival = now;
  offer.deadline = now + seconds(5);
  return offer;
}

SendEnd EndOf(const Dispatch& dispatch, SendResult result) {
  SendEnd end;
  end.token = dispatch.token;
  end.endpoint = dispatch.endpoint;
  end.result = result;
  end.took = milliseconds(5);
  return end;
}

bool Dispatched(const Decisions& out, CallToken token) {
  return std::ranges::find(out.dispatches, token, &Dispatch::token) !=
         out.dispatches.end();
}

// Drives a balancer by a random schedule and checks after each event that every
// call is in exactly one state: waiting, at an endpoint, or done.
class RandomSchedule {
 public:
  RandomSchedule() : balancer_(Options(), 3) {
    balancer_.SetService(service_, 2, now_);
  }

  void Run(int steps) {
    for (int n = 0; n < steps; ++n) {
      Step();
    }
    // No new calls are offered; all calls must end by their deadline.
    for (int n = 0; n < 400 && (!waiting_.empty() || !sent_.empty()); ++n) {
      now_ += milliseconds(5);
      if (!sent_.empty()) {
        EndOne(SendResult::kAnswered);
      }
      balancer_.Tick(now_, out_);
      Take();
    }
    RC_ASSERT(waiting_.empty());
    RC_ASSERT(sent_.empty());
    RC_ASSERT(balancer_.waiting() == 0U);
  }

 private:
  static BalancerOptions Options() {
    BalancerOptions options;
    options.max_waiting = 6;
    return options;
  }

  void Step() {
    now_ += milliseconds(*rc::gen::inRange(0, 20));
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
      case 1:
      case 2:
        OfferOne();
        break;
      case 3:
        if (!sent_.empty()) {
          EndOne(static_cast<SendResult>(*rc::gen::inRange(0, 7)));
        }
        break;
      case 4:
        if (!waiting_.empty()) {
          const CallToken token = waiting_.begin()->first;
          RC_ASSERT(balancer_.Withdraw(token, now_));
          RC_ASSERT(!balancer_.Withdraw(token, now_));
          waiting_.erase(token);
        }
        break;
      default:
        for (EndpointSpec& it : service_.endpoints) {
          it.state =
              *rc::gen::element(ListedState::kLive, ListedState::kLeaving);
        }
        balancer_.SetService(service_, 2, now_);
        balancer_.Tick(now_, out_);
        Take();
    }
  }

  void OfferOne() {
    CallOffer offer =
        OfferOf(++last_, static_cast<Urgency>(*rc::gen::inRange(0, 3)), now_);
    offer.customer = CustomerId("c" + std::to_string(*rc::gen::inRange(0, 3)));
    offer.deadline = now_ + milliseconds(*rc::gen::inRange(0, 400));
    offer.idempotent = *rc::gen::arbitrary<bool>();
    offer.waiting_limit = *rc::gen::element(0, 2, 100);
    const bool sheds = *rc::gen::arbitrary<bool>();
    offer.overload_policy =
        sheds ? OverloadPolicy::kShed : OverloadPolicy::kWait;
    waiting_.emplace(offer.token, offer);
    balancer_.Offer(offer, now_, out_);
    Take();
    RC_ASSERT(!sheds || !waiting_.contains(offer.token));
  }

  void EndOne(SendResult result) {
    const auto [token, sent] = *sent_.begin();
    sent_.erase(token);
    SendEnd end = EndOf(sent.dispatch, result);
    end.sends = sent.sends;
    // Inserted first, as the dispatcher does: the decisions may contain it.
    waiting_.emplace(token, sent.offer);
    sends_[token] = sent.sends;
    const AfterSend after = balancer_.Finish(sent.offer, end, now_, out_);
    if (after == AfterSend::kDone) {
      RC_ASSERT(!Dispatched(out_, token));
      waiting_.erase(token);
    } else {
      RC_ASSERT(MaySendAgain(result, sent.offer.idempotent));
      RC_ASSERT(sent.sends < 3);
    }
    Take();
  }

  void Take() {
    for (const Dispatch& it : out_.dispatches) {
      const auto call = waiting_.find(it.token);
      RC_ASSERT(call != waiting_.end());
      RC_ASSERT(now_ < call->second.deadline);
      sent_.emplace(it.token, Sent{call->second, it, ++sends_[it.token]});
      waiting_.erase(call);
    }
    for (const Rejection& it : out_.rejections) {
      RC_ASSERT(waiting_.erase(it.token) == 1U);
    }
    out_.clear();
    RC_ASSERT(balancer_.waiting() == waiting_.size());
    RC_ASSERT(balancer_.waiting() <= 6U);
  }

  struct Sent {
    CallOffer offer;
    Dispatch dispatch;
    int sends = 1;
  };

  TimePoint now_ = kStart;
  ServiceSpec service_ = Service(2, 1);
  ServiceBalancer balancer_;
  Decisions out_;
  CallToken last_ = 0;
  std::map<CallToken, CallOffer> waiting_;
  std::map<CallToken, Sent> sent_;
  std::map<CallToken, int> sends_;
};

// Guards against calls that wait although no endpoint can accept them in time.
TEST_CASE("a call is refused at once if all endpoints state low limits") {
  constexpr EndpointIndex kEndpoints = 4;
  ServiceBalancer balancer(BalancerOptions(), 3);
  balancer.SetService(Service(kEndpoints, 2), 400, kStart);
  for (EndpointIndex n = 0; n < kEndpoints; ++n) {
    balancer.OnSignals(n, {.rate_limit = 1}, kStart, kStart);
  }
  Decisions out;
  balancer.Offer(OfferOf(1, Urgency::kNormal, kStart), kStart, out);
  CHECK(out.dispatches.empty());
  REQUIRE(out.rejections.size() == 1);
  CHECK(out.rejections[0].refusal == Refusal::kNoEndpoint);
}

// Guards against a limit that is still in use long after its end, because no
// request is sent to an endpoint while others are free.
TEST_CASE("an endpoint with a limit gets its calls while others are free") {
  constexpr EndpointIndex kLimited = 3;
  ServiceBalancer balancer(BalancerOptions(), 3);
  balancer.SetService(Service(4, 8), 1, kStart);
  int calls_to_limited = 0;
  TimePoint now = kStart;
  for (CallToken token = 1; token <= 400; ++token) {
    balancer.OnSignals(kLimited, {.rate_limit = 1}, now, now);
    const CallOffer call = OfferOf(token, Urgency::kNormal, now);
    Decisions out;
    balancer.Offer(call, now, out);
    REQUIRE(out.dispatches.size() == 1);
    calls_to_limited += out.dispatches[0].endpoint == kLimited ? 1 : 0;
    balancer.Finish(call, EndOf(out.dispatches[0], SendResult::kAnswered), now,
                    out);
    now += milliseconds(50);
  }
  // Half of the limit is divided among the hosts: ten calls in twenty seconds
  // on average.
  CHECK(calls_to_limited >= 4);
  CHECK(calls_to_limited <= 20);
}

TEST_CASE("calls go to an endpoint without a limit") {
  ServiceBalancer balancer(BalancerOptions(), 3);
  balancer.SetService(Service(2, 8), 400, kStart);
  balancer.OnSignals(1, {.rate_limit = 1}, kStart, kStart);
  Decisions out;
  balancer.Offer(OfferOf(1, Urgency::kUrgent, kStart), kStart, out);
  REQUIRE(out.dispatches.size() == 1);
  CHECK(out.dispatches[0].endpoint == 0);
}

TEST_CASE("no call is lost or completed twice, and all end by their deadline") {
  const bool held = rc::check([] {
    RandomSchedule random_schedule;
    random_schedule.Run(*rc::gen::inRange(1, 150));
  });
  CHECK(held);
}

TEST_CASE("without a usable endpoint calls wait briefly and are then refused") {
  // All endpoints leave the list for a moment, as in a restart of the service.
  // Immediate refusals would turn each such moment into errors; waiting until
  // the deadline would hold callers for seconds when the service is gone.
  ServiceBalancer balancer({}, 1);
  balancer.SetService(Service(0, 1), 1, kStart);
  Decisions out;
  balancer.Offer(OfferOf(1, Urgency::kNormal, kStart), kStart, out);
  CHECK(out.rejections.empty());
  balancer.Tick(kStart + milliseconds(100), out);
  CHECK(out.rejections.empty());
  balancer.Tick(kStart + milliseconds(300), out);
  REQUIRE(out.rejections.size() == 1);
  CHECK(out.rejections[0] == Rejection{1, Refusal::kNoEndpoint});
  out.clear();
  balancer.Offer(OfferOf(2, Urgency::kNormal, kStart),
                 kStart + milliseconds(301), out);
  CHECK(out.rejections == std::vector<Rejection>{{2, Refusal::kNoEndpoint}});
  out.clear();
  balancer.SetService(Service(1, 1), 1, kStart + milliseconds(400));
  balancer.Offer(OfferOf(3, Urgency::kNormal, kStart),
                 kStart + milliseconds(401), out);
  CHECK(Dispatched(out, 3));
}

TEST_CASE("a shed call is retried elsewhere within the budget") {
  ServiceBalancer balancer({}, 1);
  balancer.SetService(Service(2, 6), 1, kStart);
  Decisions out;
  const CallOffer offer = OfferOf(1, Urgency::kNormal, kStart);
  balancer.Offer(offer, kStart, out);
  const Dispatch first = out.dispatches.at(0);
  out.clear();
  const AfterSend after =
      balancer.Finish(offer, EndOf(first, SendResult::kShed), kStart, out);
  CHECK(after == AfterSend::kRetry);
  REQUIRE(out.dispatches.size() == 1);
  SendEnd second = EndOf(out.dispatches[0], SendResult::kShed);
  second.sends = 2;
  out.clear();
  // The single retry of a new customer is spent.
  CHECK(balancer.Finish(offer, second, kStart, out) == AfterSend::kDone);
  CHECK(balancer.Status(kStart).retries_granted == 1);
  CHECK(balancer.Status(kStart).retries_withheld == 1);
}

TEST_CASE("only the hop nearest to the failure retries") {
  // Ten hops with three sends each turn one failing call into 59,049 sends.
  ServiceBalancer balancer({}, 1);
  balancer.SetService(Service(2, 6), 1, kStart);
  Decisions out;
  CallOffer offer = OfferOf(1, Urgency::kNormal, kStart);
  offer.idempotent = true;
  balancer.Offer(offer, kStart, out);
  SendEnd end = EndOf(out.dispatches.at(0), SendResult::kFailed);
  end.retried_downstream = true;
  CHECK(balancer.Finish(offer, end, kStart, out) == AfterSend::kDone);
  out.clear();
  offer.token = 2;
  offer.is_retry = true;
  balancer.Offer(offer, kStart, out);
  end = EndOf(out.dispatches.at(0), SendResult::kFailed);
  CHECK(balancer.Finish(offer, end, kStart, out) == AfterSend::kDone);
}

TEST_CASE("one call is sent at most three times under any budget") {
  ServiceBalancer balancer({}, 1);
  balancer.SetService(Service(4, 6), 1, kStart);
  Decisions out;
  CallOffer offer = OfferOf(1, Urgency::kNormal, kStart);
  offer.retry_percent = 100;
  for (; offer.token <= 50; ++offer.token) {
    out.clear();
    balancer.Offer(offer, kStart, out);
    balancer.Finish(offer, EndOf(out.dispatches.at(0), SendResult::kAnswered),
                    kStart, out);
  }
  out.clear();
  balancer.Offer(offer, kStart, out);
  int sends = 1;
  while (true) {
    SendEnd end = EndOf(out.dispatches.at(0), SendResult::kShed);
    end.sends = sends;
    out.clear();
    if (balancer.Finish(offer, end, kStart, out) == AfterSend::kDone) {
      break;
    }
    ++sends;
  }
  CHECK(sends == 3);
}

TEST_CASE(
    "a call is sent although every report permanently shows a full endpoint") {
  // Guards against hosts that wait forever while endpoints keep reporting a
  // full queue: a better report comes only with an answer, which requires a
  // send.
  ServiceBalancer balancer({}, 1);
  balancer.SetService(Service(2, 6), 15, kStart);
  Decisions out;
  const CallOffer first = OfferOf(1, Urgency::kBulk, kStart);
  balancer.Offer(first, kStart, out);
  SendEnd end = EndOf(out.dispatches.at(0), SendResult::kAnswered);
  end.took = seconds(2);
  balancer.Finish(first, end, kStart, out);
  EndpointReport full;
  full.received_at = kStart;
  full.in_flight = 6;
  full.queued = 60;
  full.slots = 6;
  balancer.Report(0, full, kStart, out);
  balancer.Report(1, full, kStart, out);
  out.clear();
  balancer.Offer(OfferOf(2, Urgency::kBulk, kStart), kStart, out);
  const TimePoint later = kStart + milliseconds(60);
  full.received_at = later;
  balancer.Report(0, full, later, out);
  balancer.Report(1, full, later, out);
  balancer.Tick(later, out);
  CHECK(Dispatched(out, 2));
}

TEST_CASE("a call is not retried if its deadline cannot be met") {
  ServiceBalancer balancer({}, 1);
  balancer.SetService(Service(2, 6), 1, kStart);
  Decisions out;
  const CallOffer offer = OfferOf(1, Urgency::kNormal, kStart);
  balancer.Offer(offer, kStart, out);
  const AfterSend after =
      balancer.Finish(offer, EndOf(out.dispatches.at(0), SendResult::kShed),
                      offer.deadline, out);
  CHECK(after == AfterSend::kDone);
}

TEST_CASE("bulk leaves slots for urgent calls unless it has a credit") {
  // Six bulk calls would fill the only endpoint, and an urgent call would wait
  // for a whole bulk execution. Bulk stops while one slot is left.
  ServiceBalancer balancer({}, 1);
  balancer.SetService(Service(1, 6), 1, kStart);
  Decisions out;
  for (CallToken token = 1; token <= 8; ++token) {
    balancer.Offer(OfferOf(token, Urgency::kBulk, kStart), kStart, out);
  }
  CHECK(out.dispatches.size() < 8);
  CHECK(balancer.waiting() > 0);
  balancer.Offer(OfferOf(9, Urgency::kUrgent, kStart), kStart, out);
  CHECK(Dispatched(out, 9));
  // No call has ended, but the time since the last bulk dispatch earns a credit
  // for one.
  out.clear();
  balancer.Tick(kStart + seconds(1), out);
  CHECK(out.dispatches.size() == 1);
}

}  // namespace
}  // namespace damasktack
