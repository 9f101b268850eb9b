#include "policy/hedge_policy.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

// A call with an objective of 400 ms and a deadline of 1,200 ms, on a route
// whose answers take 140 ms, 95% of them at most 180 ms.
HedgeView ViewAt(milliseconds in_flight) {
  return {.in_flight = in_flight,
          .to_objective = milliseconds(400) - in_flight,
          .to_deadline = milliseconds(1200) - in_flight,
          .times = {milliseconds(140), milliseconds(180)},
          .second = milliseconds(140)};
}

HedgeAdvice Decide(const HedgeView& view) {
  return HedgePolicy(HedgeOptions{}).Decide(view, kNow);
}

TEST_CASE("a second send is made as late as it is on time with the margin") {
  CHECK(HedgePolicy(HedgeOptions{}).FirstCheck(ViewAt(milliseconds(0))) ==
        milliseconds(140));
  const HedgeAdvice early = Decide(ViewAt(milliseconds(160)));
  CHECK(early.step == HedgeStep::kWait);
  CHECK(early.after == milliseconds(30));
  const HedgeAdvice due = Decide(ViewAt(milliseconds(190)));
  CHECK(due.step == HedgeStep::kSend);
  CHECK_FALSE(due.is_late);
}

TEST_CASE("a second send is not made before the usual time has passed") {
  HedgeView view = ViewAt(milliseconds(150));
  view.to_objective = milliseconds(180);
  CHECK(Decide(view).step == HedgeStep::kWait);
  CHECK(Decide(view).after == milliseconds(30));
}

TEST_CASE("a second send is made earlier if the first endpoint got worse") {
  HedgeView view = ViewAt(milliseconds(100));
  CHECK(Decide(view).step == HedgeStep::kWait);
  view.first_pace = 1;
  CHECK(Decide(view).step == HedgeStep::kWait);
  view.first_pace = 7;
  CHECK(Decide(view).step == HedgeStep::kSend);
  // Slow, but still on time there.
  view.to_objective = milliseconds(900);
  CHECK(Decide(view).step == HedgeStep::kWait);
  view.is_first_lost = true;
  CHECK(Decide(view).step == HedgeStep::kSend);
}

TEST_CASE("an endpoint is looked for when the second send is due") {
  HedgeView view = ViewAt(milliseconds(190));
  view.second.reset();
  CHECK(Decide(view).step == HedgeStep::kFindEndpoint);
}

TEST_CASE("a call that is late gets a second send if that ends much earlier") {
  HedgeView view = ViewAt(milliseconds(300));
  const HedgeAdvice late = Decide(view);
  CHECK(late.step == HedgeStep::kSend);
  CHECK(late.is_late);
  view.in_flight = milliseconds(200);
  CHECK(Decide(view).step == HedgeStep::kWait);
  CHECK(Decide(ViewAt(milliseconds(1100))).step == HedgeStep::kNever);
}

TEST_CASE("there is no second send for a second after a refusal") {
  HedgePolicy policy{HedgeOptions{}};
  policy.OnRefusal(kNow - milliseconds(400));
  const HedgeAdvice advice = policy.Decide(ViewAt(milliseconds(190)), kNow);
  CHECK(advice.step == HedgeStep::kWait);
  CHECK(advice.after == milliseconds(600));
  CHECK(
      policy.Decide(ViewAt(milliseconds(190)), kNow + milliseconds(600)).step ==
      HedgeStep::kSend);
}

TEST_CASE("a losing send runs on only if it is soon over") {
  HedgeOptions options;
  CHECK(CancelsLosingSend(options, std::nullopt));
  CHECK(CancelsLosingSend(options, milliseconds(21)));
  CHECK_FALSE(CancelsLosingSend(options, milliseconds(20)));
  options.losing_send = LosingSend::kRunsOn;
  CHECK_FALSE(CancelsLosingSend(options, std::nullopt));
  options.losing_send = LosingSend::kIsCancelled;
  CHECK(CancelsLosingSend(options, milliseconds(1)));
}

}  // namespace
}  // namespace damasktack
