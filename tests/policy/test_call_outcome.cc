#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/call_outcome.h"
#include "policy/chart_texts.h"
#include "policy/service_balancer.h"
#include "tests/support/state_chart_check.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// What happens to one send on its way, drawn by the schedule.
enum class Fate : std::uint8_t {
  kConnectRefused,
  kConnectTimesOut,
  kWriteFailsAtOnce,
  kCutWhileWriting,
  kCutAfterRun,
  kCutBeforeRun,
  kAnswered,
  kErrorAnswer,
  kShed,
  kTimedOutRunning,
  kTimedOutBeforeRun,
  kCancelledRunning,
  kCancelledConnecting,
};
constexpr int kFates = 13;

// An endpoint that decides itself whether it ran the call, and what of it the
// sender gets to see.
struct FakeEndpoint {
  int executions = 0;

  SendResult Take(Fate fate, CallOutcome& call) {
    switch (fate) {
      case Fate::kConnectRefused:
      case Fate::kConnectTimesOut:
      case Fate::kWriteFailsAtOnce:
      case Fate::kCancelledConnecting:
        return SendResult::kNotConnected;
      case Fate::kCutWhileWriting:
      case Fate::kCutBeforeRun:
        call.OnWrote();
        return SendResult::kBroken;
      case Fate::kCutAfterRun:
        ++executions;
        return SendResult::kBroken;
      case Fate::kAnswered:
        ++executions;
        return SendResult::kAnswered;
      case Fate::kErrorAnswer:
        call.OnWrote();
        ++executions;
        return SendResult::kFailed;
      case Fate::kShed:
        return SendResult::kShed;
      case Fate::kTimedOutRunning:
        ++executions;
        return SendResult::kTimedOut;
      case Fate::kTimedOutBeforeRun:
        return SendResult::kTimedOut;
      case Fate::kCancelledRunning:
        call.OnWrote();
        ++executions;
        return SendResult::kCancelled;
    }
    return SendResult::kBroken;
  }
};

ServiceSpec TwoEndpoints() {
  ServiceSpec service;
  service.id = ServiceId("dispatch");
  for (const char* name : {"e1", "e2"}) {
    EndpointSpec spec;
    spec.id = EndpointId(name);
    spec.address = {"127.0.0.1", static_cast<std::uint16_t>(name[1])};
    spec.slots = 3;
    service.endpoints.push_back(spec);
  }
  return service;
}

// One call with its schedule, from its offer to what its caller hears.
class Schedule {
 public:
  explicit Schedule(bool idempotent) : outcome_(idempotent), balancer_({}, 7) {
    service_ = TwoEndpoints();
    balancer_.SetService(service_, 1, now_);
    offer_.token = 1;
    offer_.customer = CustomerId("plant");
    offer_.idempotent = idempotent;
    offer_.retry_percent = 100;
    offer_.arrival = now_;
    offer_.deadline = now_ + std::chrono::seconds(2);
    // Earlier sends of the customer leave repeats to spend.
    for (CallToken token = 100; token < 110; ++token) {
      CallOffer earlier = offer_;
      earlier.token = token;
      Decisions out;
      balancer_.Offer(earlier, now_, out);
      balancer_.Finish(earlier,
                       {token,
                        out.dispatches.at(0).endpoint,
                        SendResult::kAnswered,
                        milliseconds(1),
                        {}},
                       now_, out);
    }
  }

  void Run() {
    balancer_.Offer(offer_, now_, decisions_);
    while (!over_) {
      Step();
    }
  }

  int executions() const { return endpoint_.executions; }
  Outcome outcome() const { return outcome_.outcome(); }
  int sends() const { return sends_; }

 private:
  void Step() {
    now_ += milliseconds(*rc::gen::inRange(0, 300));
    if (*rc::gen::inRange(0, 8) == 0) {
      ToggleDrain();
    }
    if (!decisions_.rejections.empty()) {
      outcome_.OnRefused();
      over_ = true;
      return;
    }
    if (decisions_.dispatches.empty()) {
      Wait();
      return;
    }
    SendOnce();
  }

  void ToggleDrain() {
    for (EndpointSpec& it : service_.endpoints) {
      it.state = *rc::gen::element(ListedState::kLive, ListedState::kLeaving);
    }
    balancer_.SetService(service_, 1, now_);
  }

  void Wait() {
    const bool caller_leaves = *rc::gen::inRange(0, 6) == 0;
    if (caller_leaves && balancer_.Withdraw(offer_.token, now_)) {
      outcome_.OnRefused();
      over_ = true;
      return;
    }
    balancer_.Tick(now_, decisions_);
  }

  void SendOnce() {
    const Dispatch dispatch = decisions_.dispatches.at(0);
    decisions_.clear();
    outcome_.OnPlaced();
    ++sends_;
    const auto fate = static_cast<Fate>(*rc::gen::inRange(0, kFates));
    const SendResult result = endpoint_.Take(fate, outcome_);
    outcome_.OnSendEnd(result);
    SendEnd end{offer_.token, dispatch.endpoint, result, milliseconds(1), {}};
    end.sends = sends_;
    const bool may_send_again = outcome_.MaySendAgain();
    if (balancer_.Finish(offer_, end, now_, decisions_) == AfterSend::kRetry) {
      RC_ASSERT(may_send_again);
      outcome_.OnSentAgain();
      return;
    }
    outcome_.OnGivenUp();
    over_ = true;
  }

  TimePoint now_ = kStart;
  ServiceSpec service_;
  CallOffer offer_;
  CallOutcome outcome_;
  ServiceBalancer balancer_;
  FakeEndpoint endpoint_;
  Decisions decisions_;
  int sends_ = 0;
  bool over_ = false;
};

TEST_CASE("the charts of calls and endpoints are walked") {
  CheckAllTransitions("policy/charts/call.json", CallChartText(),
                      GetCallChart());
  CHECK(ReadSourceFile("policy/charts/endpoint.json") == EndpointChartText());
}

TEST_CASE("a renewal runs once at most, and not-run is never said of one") {
  // A plant pays twice, or is told "not run" and files again: a connection is
  // cut after the bytes went out and the sender takes it for never sent. Only
  // a refused connection, no byte written, or the endpoint's own word counts.
  int runs = 0;
  int resent = 0;
  const bool held = rc::check([&] {
    Schedule schedule(false);
    schedule.Run();
    RC_ASSERT(schedule.executions() <= 1);
    RC_ASSERT(schedule.outcome() != Outcome::kNotRun ||
              schedule.executions() == 0);
    RC_ASSERT(schedule.outcome() != Outcome::kComplete ||
              schedule.executions() == 1);
    runs += schedule.executions();
    resent += schedule.sends() > 1 ? 1 : 0;
  });
  CHECK(held);
  // The property says nothing where no schedule ran or repeated a call.
  CHECK(runs > 10);
  CHECK(resent > 5);
}

TEST_CASE("a lookup may run twice, and not-run is never said of one that ran") {
  // An inspector's lookup is sent again after a cut, the second send is
  // refused by its deadline: it may have run, so the caller hears "unknown".
  int twice = 0;
  const bool held = rc::check([&] {
    Schedule schedule(true);
    schedule.Run();
    RC_ASSERT(schedule.outcome() != Outcome::kNotRun ||
              schedule.executions() == 0);
    twice += schedule.executions() > 1 ? 1 : 0;
  });
  CHECK(held);
  CHECK(twice > 0);
}

TEST_CASE("a step that the chart does not know never leads to not-run") {
  const bool held = rc::check([] {
    CallOutcome call(*rc::gen::arbitrary<bool>());
    bool ran = false;
    const auto steps = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange(0, 5 + static_cast<int>(kSendResultCount)));
    for (const int step : steps) {
      switch (step) {
        case 0:
          call.OnPlaced();
          break;
        case 1:
          call.OnRefused();
          break;
        case 2:
          call.OnWrote();
          break;
        case 3:
          call.OnSentAgain();
          break;
        case 4:
          call.OnGivenUp();
          break;
        default: {
          const auto result = static_cast<SendResult>(step - 5);
          call.OnSendEnd(result);
          ran = ran || !SurelyNotRun(result);
        }
      }
    }
    RC_ASSERT(!ran || call.outcome() != Outcome::kNotRun);
  });
  CHECK(held);
}

}  // namespace
}  // namespace damasktack
