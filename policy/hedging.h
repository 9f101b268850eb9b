#ifndef POLICY_HEDGING_H_
#define POLICY_HEDGING_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "policy/answer_times.h"
#include "policy/balancer.h"
#include "policy/hedge_policy.h"
#include "policy/retry_budget.h"
#include "policy/scaled_time.h"

namespace damasktack {

// The second sends of the calls of one service: what both balancers share
// between Balancer::DecideHedge and HedgePolicy.
class Hedging {
 public:
  // What a balancer knows about the endpoints for one decision.
  struct Endpoints {
    // See HedgeView.
    std::optional<double> first_pace;
    bool can_probe_first = false;
    bool is_first_lost = false;
    std::optional<Dispatch> second;
    // Execution time at `second` relative to the usual one.
    double second_work = 1;
  };

  explicit Hedging(HedgeOptions options) : policy_(options) {}

  // Records an answer of an endpoint of usual pace.
  void OnAnswer(const CallOffer& offer, Duration took) {
    times_.OnAnswer(offer.customer, took);
  }
  // Records the refusals that an event led to, `before` it and after it.
  void OnRefusals(std::size_t before, const Decisions& out, TimePoint now) {
    if (out.rejections.size() > before) {
      policy_.OnRefusal(now);
    }
  }

  // Decides on the call; spends from `retries` if it is sent. `find` returns
  // the Endpoints; `probe_first` and `probe_others` request probes and return
  // the time after which their answers are expected, or null if there are none.
  template <typename Find, typename ProbeFirst, typename ProbeOthers>
  HedgeDecision Decide(const HedgeRequest& request,
                       RetryBudget& retries,
                       TimePoint now,
                       Find find,
                       ProbeFirst probe_first,
                       ProbeOthers probe_others);

  std::uint64_t granted() const { return granted_; }
  std::uint64_t withheld() const { return withheld_; }

 private:
  bool TrySpend(const CallOffer& offer,
                bool is_late,
                RetryBudget& retries,
                TimePoint now);

  HedgePolicy policy_;
  AnswerTimes times_;
  std::uint64_t granted_ = 0;
  std::uint64_t withheld_ = 0;
};

template <typename Find, typename ProbeFirst, typename ProbeOthers>
HedgeDecision Hedging::Decide(const HedgeRequest& request,
                              RetryBudget& retries,
                              TimePoint now,
                              Find find,
                              ProbeFirst probe_first,
                              ProbeOthers probe_others) {
  const CallOffer& offer = request.offer;
  const std::optional<UsualTimes> times = times_.Of(offer.customer);
  if (!offer.idempotent || !times) {
    return {};
  }
  HedgeView view{.in_flight = request.in_flight,
                 .to_objective = offer.on_time_until - now,
                 .to_deadline = offer.deadline - now,
                 .times = *times};
  // Most calls have ended by the time at which the endpoints matter.
  const Duration wait = policy_.DecidesAfter(view, now);
  if (wait > Duration::zero()) {
    return {.ask_again_after = wait};
  }
  const Endpoints endpoints = find();
  view.first_pace = endpoints.first_pace;
  view.can_probe_first = endpoints.can_probe_first;
  view.is_first_lost = endpoints.is_first_lost;
  if (endpoints.second) {
    view.second = Scaled(times->typical, endpoints.second_work);
  }
  HedgeAdvice advice = policy_.Decide(view);
  if (advice.step == HedgeStep::kProbeFirst) {
    if (const std::optional<Duration> after = probe_first()) {
      if (!endpoints.second) {
        probe_others();
      }
      return {.ask_again_after = *after, .has_probes = true};
    }
    view.can_probe_first = false;
    advice = policy_.Decide(view);
  }
  if (advice.step == HedgeStep::kNever) {
    return {};
  }
  if (advice.step == HedgeStep::kSend &&
      TrySpend(offer, advice.is_late, retries, now)) {
    return {.dispatch = endpoints.second};
  }
  if (advice.step == HedgeStep::kFindEndpoint) {
    if (const std::optional<Duration> after = probe_others()) {
      return {.ask_again_after = *after, .has_probes = true};
    }
  }
  return {.ask_again_after = advice.after};
}

}  // namespace damasktack

#endif  // POLICY_HEDGING_H_
