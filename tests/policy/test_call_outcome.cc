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

// What happens to one send, chosen by the schedule.
enum class SendScenario : std::uint8_t {
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
constexpr int kScenarioCount = 13;

// An endpoint that determines whether it runs the call, and what the sender
// observes of it.
struct FakeEndpoint {
  int executions = 0;

  SendResult Take(SendScenario scenario, CallOutcome& call) {
    switch (scenario) {
      case SendScenario::kConnectRefused:
      case SendScenario::kConnectTimesOut:
      case SendScenario::kWriteFailsAtOnce:
      case SendScenario::kCancelledConnecting:
        return SendResult::kNotConnected;
      case SendScenario::kCutWhileWriting:
      case SendScenario::kCutBeforeRun:
        call.OnWrote();
        return SendResult::kBroken;
      case SendScenario::kCutAfterRun:
        ++executions;
        return SendResult::kBroken;
      case SendScenario::kAnswered:
        ++executions;
        return SendResult::kAnswered;
      case SendScenario::kErrorAnswer:
        call.OnWrote();
        ++executions;
        return SendResult::kFailed;
      case SendScenario::kShed:
        return SendResult::kShed;
      case SendScenario::kTimedOutRunning:
        ++executions;
        return SendResult::kTimedOut;
      case SendScenario::kTimedOutBeforeRun:
        return SendResult::kTimedOut;
      case SendScenario::kCancelledRunning:
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

// Runs one call through a random schedule, from its offer to the outcome
// reported to its caller.
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
    // Earlier sends of the customer earn a budget for retries.
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
    const auto scenario =
        static_cast<SendScenario>(*rc::gen::inRange(0, kScenarioCount));
    const SendResult result = endpoint_.Take(scenario, outcome_);
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

TEST_CASE("the embedded charts match their files") {
  CheckAllTransitions("policy/charts/call.json", CallChartText(),
                      GetCallChart());
  CHECK(ReadSourceFile("policy/charts/endpoint.json") == EndpointChartText());
}

TEST_CASE(
    "a non-idempotent call runs at most once, and not-run is never false") {
  // Guards against a double execution, or a false "not-run" after which the
  // caller sends the call again. This would happen if a connection that is cut
  // after the bytes were sent counted as never used. Only a refused connection,
  // no byte written, or the endpoint's own answer proves that the call did not
  // run.
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
  // The property is vacuous if no schedule ran a call or sent one again.
  CHECK(runs > 10);
  CHECK(resent > 5);
}

TEST_CASE("an idempotent call may run twice, and not-run is never false") {
  // A lookup is sent again after a cut, and the second send is refused because
  // of its deadline: the first may have run, so the outcome is "unknown".
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

TEST_CASE("a step that the chart does not define never leads to not-run") {
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

// Guards against "not-run" for a call of which one of two sends in flight may
// have run, and against an answer that is reported as unknown.
TEST_CASE("the outcome of two sends at once is that of both") {
  for (std::size_t one = 0; one < kSendResultCount; ++one) {
    for (std::size_t other = 0; other < kSendResultCount; ++other) {
      const auto first = static_cast<SendResult>(one);
      const auto second = static_cast<SendResult>(other);
      CAPTURE(ToString(first));
      CAPTURE(ToString(second));
      const auto is_answer = [](SendResult it) {
        return it == SendResult::kAnswered || it == SendResult::kFailed;
      };
      CallOutcome call(true);
      call.OnPlaced();
      call.OnSendsEnd(first, second);
      call.OnGivenUp();
      Outcome expected = Outcome::kUnknown;
      if (is_answer(first) || is_answer(second)) {
        expected = Outcome::kComplete;
      } else if (SurelyNotRun(first) && SurelyNotRun(second)) {
        expected = Outcome::kNotRun;
      }
      CHECK(call.outcome() == expected);
    }
  }
}

}  // namespace
}  // namespace damasktack
