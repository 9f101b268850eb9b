#ifndef POLICY_HEDGE_POLICY_H_
#define POLICY_HEDGE_POLICY_H_

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "policy/answer_times.h"
#include "policy/losing_send.h"

namespace damasktack {

struct HedgeOptions {
  // Limit on hedges as a fraction of first sends, over RetryWindow::kWindow.
  double max_fraction = 0.08;
  // The same for hedges that are not expected to be on time, so that they do
  // not use up what hedges that are on time need.
  double max_late_fraction = 0.04;
  // Fraction of the retry budget that hedges leave for retries of failed sends.
  double retry_reserve = 0.25;
  // Time without hedges after a call was refused.
  Duration pause_after_refusal = std::chrono::seconds(1);
  // A second send is made at the latest when it would still be on time with its
  // expected duration multiplied by this factor. Execution times vary by about
  // a third.
  double on_time_margin = 1.5;
  // A second send that is late must end earlier than the first one by this
  // factor.
  double late_margin = 1.5;
  // Execution time, relative to the usual one, from which an endpoint is slow.
  double slow_pace = 2;
  LosingSendOptions losing_send;
};

// What is known about a call whose first send is in flight.
struct HedgeView {
  // Time since the send.
  Duration in_flight{};
  // Times from now; negative if passed.
  Duration to_objective{};
  Duration to_deadline{};
  // Of the call's route.
  UsualTimes times;
  // Pace of the first endpoint as reported since the send; null without such a
  // report.
  std::optional<double> first_pace = std::nullopt;
  // Whether the first endpoint can be probed for its pace.
  bool can_probe_first = false;
  // The first endpoint has not answered a probe since the send.
  bool is_first_lost = false;
  // Expected duration of a second send at the best other endpoint that has a
  // fresh report, a free slot and a usual pace; null if none is known.
  std::optional<Duration> second = std::nullopt;
};

enum class HedgeStep : std::uint8_t {
  kNever,
  // Decide again after `HedgeAdvice::after`.
  kWait,
  // Probe the first endpoint, and decide again.
  kProbeFirst,
  // Look for an endpoint for the second send, and decide again.
  kFindEndpoint,
  kSend,
};

struct HedgeAdvice {
  HedgeStep step = HedgeStep::kNever;
  Duration after{};
  // The second send will not be on time, but ends earlier than the first one.
  bool is_late = false;
};

// Decides whether a call gets a second send, a hedge, while its first one is in
// flight.
//
// Made for endpoints that become several times slower, or lose an answer, after
// a call was sent to them. The second send is made as late as it can be on time
// with a margin: an earlier one is more often unnecessary, and the number of
// hedges is limited. The first endpoint is probed then. If it has become slow
// or does not answer the probe, the second send is made at once; otherwise when
// the first one has taken longer than 95% of the answers of its route, or twice
// the typical time. A call that cannot be on time any more gets a second send
// if that ends clearly earlier than the first one.
//
// The owner checks the budgets (RetryBudget::TrySpendOnHedge), that a call may
// run twice, and its limit of sends.
class HedgePolicy {
 public:
  explicit HedgePolicy(HedgeOptions options) : options_(options) {}

  // Records that a call was refused: capacity is short, and a second send would
  // take it from another call.
  void OnRefusal(TimePoint now) {
    paused_until_ = now + options_.pause_after_refusal;
  }

  // Returns the time until a decision is due: the latest time at which a second
  // send is on time with the margin, or the end of a pause. Uses neither
  // endpoint.
  Duration DecidesAfter(const HedgeView& view, TimePoint now) const;
  // Decides on a call for which a decision is due.
  HedgeAdvice Decide(const HedgeView& view) const;
  const HedgeOptions& options() const { return options_; }

 private:
  // Whether the first endpoint is known to be worse than at the time of the
  // send.
  bool IsFirstWorse(const HedgeView& view) const;
  // Returns the expected time until the first send is answered.
  Duration FirstEndsIn(const HedgeView& view) const;

  HedgeOptions options_;
  TimePoint paused_until_{};
};

}  // namespace damasktack

#endif  // POLICY_HEDGE_POLICY_H_
