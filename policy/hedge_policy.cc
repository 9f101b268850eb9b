#include "policy/hedge_policy.h"

#include <algorithm>

#include "policy/scaled_time.h"

namespace damasktack {

namespace {

// Part (1/n) of the typical time between two decisions on one call.
constexpr int kRecheckDivisor = 4;
constexpr Duration kMinRecheck = std::chrono::milliseconds(5);
// Part (1/n) of the typical time before which no decision is made.
constexpr int kFirstCheckDivisor = 2;
// Part (1/n) of the typical time that a send at a slow endpoint is assumed to
// need at least. How much of the work is done is not known.
constexpr int kMinWorkDivisor = 4;

}  // namespace

Duration HedgePolicy::DecidesAfter(const HedgeView& view, TimePoint now) const {
  const Duration latest =
      view.to_objective - Scaled(view.times.typical, options_.on_time_margin);
  const Duration earliest =
      view.times.typical / kFirstCheckDivisor - view.in_flight;
  return std::max({latest, earliest, paused_until_ - now, Duration::zero()});
}

bool HedgePolicy::IsFirstWorse(const HedgeView& view) const {
  return view.is_first_lost ||
         (view.first_pace && *view.first_pace > options_.slow_pace);
}

Duration HedgePolicy::FirstEndsIn(const HedgeView& view) const {
  if (view.is_first_lost) {
    return view.to_deadline;
  }
  if (!IsFirstWorse(view)) {
    // Overdue for an unknown reason: expected to take as long again.
    return view.in_flight;
  }
  const Duration work = std::max(view.times.typical - view.in_flight,
                                 view.times.typical / kMinWorkDivisor);
  return Scaled(work, *view.first_pace);
}

HedgeAdvice HedgePolicy::Decide(const HedgeView& view) const {
  const Duration second = view.second.value_or(view.times.typical);
  if (second >= view.to_deadline) {
    return {HedgeStep::kNever};
  }
  const Duration recheck =
      std::max(view.times.typical / kRecheckDivisor, kMinRecheck);
  if (!view.is_first_lost && !view.first_pace && view.can_probe_first) {
    return {HedgeStep::kProbeFirst, recheck};
  }
  // Without the second bound, a twentieth of long executions would put the
  // usual time beyond the objective, and none of them would be hedged.
  const Duration usual = std::min(
      view.times.usual, Scaled(view.times.typical, options_.slow_pace));
  if (!IsFirstWorse(view) && view.in_flight < usual) {
    return {HedgeStep::kWait, std::min(usual - view.in_flight, recheck)};
  }
  const bool is_late = second > view.to_objective;
  const bool is_useful =
      !is_late || Scaled(second, options_.late_margin) < FirstEndsIn(view);
  if (!is_useful) {
    return {HedgeStep::kWait, recheck};
  }
  return {view.second ? HedgeStep::kSend : HedgeStep::kFindEndpoint, recheck,
          is_late};
}

}  // namespace damasktack
