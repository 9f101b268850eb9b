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
  return HedgePolicy(HedgeOptions{}).Decide(view);
}

TEST_CASE("a decision is due when a second send is on time with the margin") {
  HedgePolicy policy{HedgeOptions{}};
  CHECK(policy.DecidesAfter(ViewAt(milliseconds(0)), kNow) ==
        milliseconds(190));
  CHECK(policy.DecidesAfter(ViewAt(milliseconds(200)), kNow) == Duration());
  // No second send for a second after a refusal.
  policy.OnRefusal(kNow - milliseconds(400));
  CHECK(policy.DecidesAfter(ViewAt(milliseconds(200)), kNow) ==
        milliseconds(600));
}

TEST_CASE("a second send is made after the usual time has passed") {
  CHECK(Decide(ViewAt(milliseconds(190))).step == HedgeStep::kSend);
  CHECK_FALSE(Decide(ViewAt(milliseconds(190))).is_late);
  HedgeView view = ViewAt(milliseconds(170));
  CHECK(Decide(view).step == HedgeStep::kWait);
  CHECK(Decide(view).after == milliseconds(10));
  view.first_pace = 1;
  CHECK(Decide(view).step == HedgeStep::kWait);
}

TEST_CASE("a second send is made earlier if the first endpoint got worse") {
  HedgeView view = ViewAt(milliseconds(100));
  view.can_probe_first = true;
  CHECK(Decide(view).step == HedgeStep::kProbeFirst);
  view.first_pace = 7;
  CHECK(Decide(view).step == HedgeStep::kSend);
  view.first_pace.reset();
  view.is_first_lost = true;
  CHECK(Decide(view).step == HedgeStep::kSend);
}

TEST_CASE("an endpoint is looked for when the second send is due") {
  HedgeView view = ViewAt(milliseconds(190));
  view.second.reset();
  CHECK(Decide(view).step == HedgeStep::kFindEndpoint);
}

TEST_CASE("a call that is late gets a second send if that ends much earlier") {
  const HedgeAdvice late = Decide(ViewAt(milliseconds(300)));
  CHECK(late.step == HedgeStep::kSend);
  CHECK(late.is_late);
  HedgeView view = ViewAt(milliseconds(200));
  view.to_objective = milliseconds(100);
  CHECK(Decide(view).step == HedgeStep::kWait);
  CHECK(Decide(ViewAt(milliseconds(1100))).step == HedgeStep::kNever);
}

TEST_CASE("a losing send runs on only if it is soon over") {
  LosingSendOptions options;
  CHECK(CancelsLosingSend(options, std::nullopt));
  CHECK(CancelsLosingSend(options, milliseconds(21)));
  CHECK_FALSE(CancelsLosingSend(options, milliseconds(20)));
  options.action = LosingSend::kRunsOn;
  CHECK_FALSE(CancelsLosingSend(options, std::nullopt));
  options.action = LosingSend::kIsCancelled;
  CHECK(CancelsLosingSend(options, milliseconds(1)));
}

}  // namespace
}  // namespace damasktack
