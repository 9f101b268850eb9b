#include "policy/measured_balancer.h"

#include <algorithm>
#include <utility>

#include "policy/scaled_time.h"

namespace damasktack {

namespace {

// Bounds of Retry-After. The lower bound is the time in which a slow server may
// recover, or a slot become free, at the host that the caller reaches next. No
// jitter is added: callers return to other hosts, and a longer average delay
// lets fewer of them be served.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(15);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(1);

// Margin in place of `on_time_margin` for a caller that returns after a
// refusal, so that its call is accepted at a fill at which a first attempt is
// refused. Half of the usual margin still covers most variations of the
// execution time.
constexpr double kReturningOnTimeMargin = 1.25;

// Returns a random number from 0 to 1.
double RandomFraction(Random& random) {
  constexpr std::uint32_t kSteps = 1U << 16U;
  return static_cast<double>(UniformBelow(random, kSteps)) / kSteps;
}

}  // namespace

MeasuredBalancer::MeasuredBalancer(MeasuredBalancerOptions options,
                                   std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      endpoints_(options_),
      probes_(options_, endpoints_),
      queue_(options_.admission),
      retries_(options_.retries, RandomFraction(random_)),
      hedging_(options_.hedge) {}

void MeasuredBalancer::SetService(const ServiceSpec& service,
                                  std::int64_t hosts,
                                  TimePoint now) {
  retries_.SetFleet(hosts, service.endpoints.size(), now);
  probes_.Share(service.endpoints.size(), hosts, now);
  endpoints_.SetService(service, hosts, now);
  pacing_.SetHosts(hosts);
  slack_.SetEnabled(options_.slack_placement &&
                    service.route_mix.has_mixed_objectives);
}

std::optional<MeasuredCandidate> MeasuredBalancer::BestFreshOnTime(
    const WaitingCall& call,
    TimePoint now) {
  if (probes_.CountFresh(now) < options_.min_fresh_reports) {
    return std::nullopt;
  }
  const std::optional<MeasuredCandidate> best = endpoints_.Best(
      call, MeasuredEndpoints::CandidateSet::kFresh, now, random_);
  return best && IsOnTime(call, *best, now) ? best : std::nullopt;
}

bool MeasuredBalancer::IsOnTime(const WaitingCall& call,
                                const MeasuredCandidate& best,
                                TimePoint now) const {
  const double margin = IsPacedReturn(call.offer) ? kReturningOnTimeMargin
                                                  : options_.on_time_margin;
  return now + Scaled(best.finish, margin) <= call.offer.on_time_until;
}

// Used if the call is on time at no endpoint: it is sent to one with a free
// slot if it completes there before its deadline, though late.
bool MeasuredBalancer::MayFinishLate(const WaitingCall& call,
                                     const MeasuredCandidate& best,
                                     TimePoint now) const {
  return best.HasFreeSlot() && now + best.finish < call.offer.deadline;
}

MeasuredBalancer::Decision MeasuredBalancer::Decide(const WaitingCall& call,
                                                    TimePoint now) {
  const std::optional<MeasuredCandidate> best = endpoints_.Best(
      call, MeasuredEndpoints::CandidateSet::kAll, now, random_);
  UpdateUnavailableSince(call, best.has_value(), now);
  if (!best) {
    return {DecideUnavailable(call, now), best};
  }
  if (const std::optional<Decision> by_slack =
          DecideBySlack(call, *best, endpoints_.usual_time(), now)) {
    return *by_slack;
  }
  if (best->is_good) {
    return {Step::kSend, best};
  }
  if (const std::optional<MeasuredCandidate> best_fresh =
          BestFreshOnTime(call, now)) {
    return {Step::kSend, best_fresh};
  }
  if (AwaitsProbes(call, now)) {
    return {Step::kWait, best};
  }
  if (IsOnTime(call, *best, now)) {
    return {Step::kSend, best};
  }
  if (const std::optional<Decision> by_slack =
          DecideBySlack(call, *best, best->finish, now)) {
    return *by_slack;
  }
  const bool may_finish_late = MayFinishLate(call, *best, now);
  return {may_finish_late ? Step::kSend : Step::kRefuse, best};
}

bool MeasuredBalancer::AwaitsProbes(const WaitingCall& call, TimePoint now) {
  return probes_.HasPendingProbes(WaitsOf(call, now).probes, now) ||
         probes_.RequestProbes(call, now, random_);
}

MeasuredBalancer::Step MeasuredBalancer::DecideUnavailable(
    const WaitingCall& call,
    TimePoint now) {
  if (!endpoints_.HasEndpointInRegionsOf(call)) {
    return Step::kRefuse;
  }
  const TimePoint since =
      std::min(unavailable_since_.value_or(now), call.offer.arrival);
  const bool has_timed_out =
      !AwaitsProbes(call, now) && (IsUnavailableTooLong(call, now) ||
                                   now - since >= WaitsOf(call, now).endpoint);
  return has_timed_out ? Step::kRefuse : Step::kWait;
}

std::optional<MeasuredBalancer::Decision> MeasuredBalancer::DecideBySlack(
    const WaitingCall& call,
    const MeasuredCandidate& best,
    Duration least,
    TimePoint now) const {
  // Endpoints with a stated limit take the calls that the limit allows.
  if (!slack_.IsShort(now) || endpoints_.RateLimit(best.index)) {
    return std::nullopt;
  }
  const std::vector<MeasuredCandidate> fresh =
      endpoints_.FreshCandidates(call, now);
  std::vector<SlackCandidate> candidates;
  candidates.reserve(fresh.size());
  const double factor = route_times_.FactorOf(call.offer.customer);
  for (const MeasuredCandidate& it : fresh) {
    candidates.push_back({Scaled(it.finish, factor), it.pace, it.is_good,
                          it.HasFreeSlot(),
                          endpoints_.spec(it.index).zone != options_.zone});
  }
  const SlackPlacement::Decision decision = SlackPlacement::Choose(
      candidates, Scaled(least, factor),
      {call.offer.on_time_until - now, call.offer.deadline - now,
       options_.on_time_margin});
  switch (decision.choice) {
    case SlackPlacement::Choice::kUsual:
      return std::nullopt;
    case SlackPlacement::Choice::kCandidate:
      return Decision{Step::kSend, fresh[decision.candidate], true};
    case SlackPlacement::Choice::kNone:
      break;
  }
  return Decision{Step::kRefuse, best, true};
}

Duration MeasuredBalancer::UsualTimeOf(const CallOffer& offer) const {
  return Scaled(endpoints_.usual_time(), route_times_.FactorOf(offer.customer));
}

TimePoint MeasuredBalancer::MustStartBy(const CallOffer& offer) const {
  return offer.on_time_until -
         Scaled(UsualTimeOf(offer), options_.on_time_margin);
}

// While enough endpoints are free, the wait for probes is the usual one.
SlackWaits MeasuredBalancer::WaitsOf(const WaitingCall& call,
                                     TimePoint now) const {
  SlackWaits waits{options_.max_probe_timeout, options_.no_endpoint_timeout};
  if (slack_.is_enabled()) {
    const SlackWaits by_slack = SlackPlacement::WaitsFor(
        MustStartBy(call.offer) - call.offer.arrival, options_.probe_timeout);
    waits.endpoint = by_slack.endpoint;
    waits.probes = slack_.IsShort(now) ? by_slack.probes : waits.probes;
  }
  return waits;
}

bool MeasuredBalancer::IsUnavailableTooLong(const WaitingCall& call,
                                            TimePoint now) const {
  const TimePoint timeout_at = now + WaitsOf(call, now).endpoint;
  const auto available_at = endpoints_.AvailableAt(call, now, timeout_at);
  return available_at && *available_at >= timeout_at;
}

void MeasuredBalancer::Offer(const CallOffer& offer,
                             TimePoint now,
                             Decisions& out) {
  returning_callers_.Record(offer.customer, offer.asked, now);
  Admit(WaitingCall{offer, std::nullopt}, now, out);
}

void MeasuredBalancer::Admit(WaitingCall call, TimePoint now, Decisions& out) {
  endpoints_.GuessUsualTime(call.offer);
  if (slack_.is_enabled() || IsPaced(call.offer)) {
    call.rank = {
        IsPaced(call.offer) && !IsPacedReturn(call.offer),
        slack_.is_enabled() ? MustStartBy(call.offer) : call.offer.arrival};
  }
  queue_.Add(std::move(call), out.rejections);
  ProcessQueue(now, out);
}

bool MeasuredBalancer::Withdraw(CallToken token, TimePoint /*now*/) {
  return queue_.Remove(token);
}

void MeasuredBalancer::ProcessQueue(TimePoint now, Decisions& out) {
  if (queue_.empty()) {
    return;
  }
  const std::size_t before = out.rejections.size();
  queue_.Expire(now, ServiceTimes{}, out.rejections);
  while (ProcessOne(now, out)) {
  }
  hedging_.OnRefusals(before, out, now);
}

bool MeasuredBalancer::ProcessOne(TimePoint now, Decisions& out) {
  for (const Urgency urgency : queue_.Order()) {
    const WaitingCall& head = *queue_.Head(urgency);
    const Decision decision = Decide(head, now);
    if (decision.step == Step::kSend) {
      Send(queue_.Take(urgency), decision, now, out);
      return true;
    }
    if (decision.step == Step::kRefuse) {
      const WaitingCall call = head;
      queue_.Remove(call.offer.token);
      slack_refusals_ += decision.is_by_slack ? 1 : 0;
      Rejection rejection{call.offer.token,
                          decision.best ? Refusal::kShed : Refusal::kNoEndpoint,
                          PacedRetryAfter(call, decision.best, false, now),
                          BasisOf(decision, now)};
      if (IsPaced(call.offer)) {
        rejection.basis.paced_by = pacing_.FleetCapacity(now);
      }
      out.rejections.push_back(std::move(rejection));
      return true;
    }
  }
  return false;
}

Duration MeasuredBalancer::RetryAfter(
    const WaitingCall& call,
    const std::optional<MeasuredCandidate>& best,
    TimePoint now) const {
  Duration wait = kMinRetryAfter;
  if (best) {
    wait = std::max(wait, now + best->finish - call.offer.on_time_until);
  } else if (const auto available_at =
                 endpoints_.AvailableAt(call, now, now + kMaxRetryAfter)) {
    wait = std::max(wait, *available_at - now);
  }
  return std::min(wait, kMaxRetryAfter);
}

bool MeasuredBalancer::IsPaced(const CallOffer& offer) const {
  return options_.return_pacing_factor > 0 &&
         offer.timeout_factor >= options_.return_pacing_factor;
}

bool MeasuredBalancer::IsPacedReturn(const CallOffer& offer) const {
  return IsPaced(offer) &&
         returning_callers_.IsReturning(offer.customer, offer.asked);
}

Duration MeasuredBalancer::PacedRetryAfter(
    const WaitingCall& call,
    const std::optional<MeasuredCandidate>& best,
    bool can_run_now,
    TimePoint now) {
  const Duration wait = RetryAfter(call, best, now);
  if (!IsPaced(call.offer) || can_run_now) {
    return wait;
  }
  const CallOffer& offer = call.offer;
  return pacing_.Delay({offer.urgency, wait, offer.deadline - now,
                        offer.on_time_until - now - UsualTimeOf(offer)},
                       now, random_);
}

DecisionBasis MeasuredBalancer::BasisOf(const Decision& decision,
                                        TimePoint now) const {
  const std::optional<MeasuredCandidate>& best = decision.best;
  if (!best) {
    return {};
  }
  return {best->finish, endpoints_.measure(best->index).ReportAge(now),
          endpoints_.ColdBasisOf(*best, now),
          decision.is_by_slack ? slack_.GoodShare(now) : std::nullopt};
}

void MeasuredBalancer::Send(const WaitingCall& call,
                            const Decision& decision,
                            TimePoint now,
                            Decisions& out) {
  const MeasuredCandidate& best = *decision.best;
  out.dispatches.push_back(
      {call.offer.token, best.index, BasisOf(decision, now)});
  endpoints_.OnSend(call.offer.token, best, now);
  slack_placements_ += decision.is_by_slack ? 1 : 0;
  if (!call.avoid) {
    retries_.OnFirstSend(call.offer.customer, call.offer.retry_percent, now);
  }
}

std::vector<EndpointChange> MeasuredBalancer::TakeChanges() {
  return endpoints_.TakeChanges();
}

AfterSend MeasuredBalancer::Finish(const CallOffer& offer,
                                   const SendEnd& end,
                                   TimePoint now,
                                   Decisions& out) {
  const AnswerObservation observation = endpoints_.OnSendEnd(end, now);
  if (observation.has_usual_pace) {
    hedging_.OnAnswer(offer, end.took);
  }
  if (observation.relative_time && (slack_.is_enabled() || IsPaced(offer))) {
    route_times_.Learn(offer.customer, *observation.relative_time);
  }
  retries_.OnSendEnd(end.result);
  if (end.result == SendResult::kAnswered) {
    pacing_.OnAnswered(now);
  }
  if (!MayRetry(offer, end, now)) {
    ProcessQueue(now, out);
    return AfterSend::kDone;
  }
  Admit(WaitingCall{offer, end.endpoint}, now, out);
  return AfterSend::kRetry;
}

HedgeDecision MeasuredBalancer::DecideHedge(const HedgeRequest& request,
                                            TimePoint now) {
  if (request.sends >= AttemptLimit(request.offer)) {
    return {};
  }
  const WaitingCall call{request.offer, request.first};
  std::optional<MeasuredCandidate> best;
  const auto find = [&] {
    best = endpoints_.Best(call, MeasuredEndpoints::CandidateSet::kFresh, now,
                           random_);
    Hedging::Endpoints found;
    found.first_pace =
        endpoints_.PaceSince(request.first, request.in_flight, now);
    if (found.first_pace > options_.hedge.slow_pace) {
      endpoints_.OnSlowSend(request.first_token);
    }
    found.can_probe_first = true;
    found.is_first_lost =
        endpoints_.measure(request.first).FailedSince(now - request.in_flight);
    if (best && best->is_good && best->index != request.first) {
      found.second = {request.offer.token, best->index,
                      BasisOf({Step::kSend, best}, now)};
      found.second_work = Ratio(best->finish, endpoints_.usual_time());
    }
    return found;
  };
  const auto probe_first = [&]() -> std::optional<Duration> {
    return probes_.RequestProbe(request.first, now)
               ? std::optional<Duration>(options_.probe_timeout / 2)
               : std::nullopt;
  };
  const auto probe_others = [&]() -> std::optional<Duration> {
    return AwaitsProbes(call, now)
               ? std::optional<Duration>(options_.probe_timeout / 2)
               : std::nullopt;
  };
  HedgeDecision decision =
      hedging_.Decide(request, retries_, now, find, probe_first, probe_others);
  if (decision.dispatch) {
    endpoints_.OnSend(request.offer.token, *best, now);
  }
  return decision;
}

Duration MeasuredBalancer::RetryAfterSend(const CallOffer& offer,
                                          const SendEnd& end,
                                          TimePoint now) {
  const WaitingCall call{offer, end.endpoint};
  const std::optional<MeasuredCandidate> best = endpoints_.Best(
      call, MeasuredEndpoints::CandidateSet::kAll, now, random_);
  const bool can_run_now = best && IsOnTime(call, *best, now);
  return PacedRetryAfter(call, best, can_run_now, now);
}

// A first-time caller can try again by itself, which costs no retry; a
// returning caller is lost if it is refused. When endpoints refused half of the
// calls, retries for all callers were spent on those that would have returned
// anyway.
bool MeasuredBalancer::IsLeftToCaller(const CallOffer& offer) const {
  return retries_.AreScarce() &&
         !returning_callers_.IsReturning(offer.customer, offer.asked);
}

int MeasuredBalancer::AttemptLimit(const CallOffer& offer) const {
  return offer.attempt_limit > 0
             ? std::min(offer.attempt_limit, options_.attempt_limit)
             : options_.attempt_limit;
}

bool MeasuredBalancer::MayRetry(const CallOffer& offer,
                                const SendEnd& end,
                                TimePoint now) {
  if (!MaySendAgain(end.result, offer.idempotent) || end.retried_downstream ||
      end.is_suspected || offer.is_retry) {
    return false;
  }
  if (end.sends >= AttemptLimit(offer) ||
      now + endpoints_.usual_time() >= offer.deadline) {
    return false;
  }
  if (retries_.IsFutile(end.result) || IsLeftToCaller(offer) ||
      !retries_.TrySpend(offer.customer, offer.retry_percent, now)) {
    ++retries_withheld_;
    return false;
  }
  ++retries_granted_;
  return true;
}

void MeasuredBalancer::Report(EndpointIndex endpoint,
                              const EndpointReport& report,
                              TimePoint now,
                              Decisions& out) {
  endpoints_.OnReport(endpoint, report, now);
  if (slack_.is_enabled()) {
    slack_.OnProbeReport(endpoints_.Evaluate(endpoint, now).is_good, now);
  }
  ProcessQueue(now, out);
}

void MeasuredBalancer::ProbeFailed(EndpointIndex endpoint,
                                   SendResult result,
                                   TimePoint now,
                                   Decisions& out) {
  endpoints_.OnProbeFailed(endpoint, result, now);
  ProcessQueue(now, out);
}

void MeasuredBalancer::OnPeerDrain(const EndpointId& id, TimePoint now) {
  endpoints_.OnPeerDrain(id, now);
}

void MeasuredBalancer::Tick(TimePoint now, Decisions& out) {
  ProcessQueue(now, out);
}

std::optional<EndpointIndex> MeasuredBalancer::NextProbe(TimePoint /*now*/) {
  return probes_.Next();
}

// A call that is restricted to some regions says nothing about the others.
void MeasuredBalancer::UpdateUnavailableSince(const WaitingCall& call,
                                              bool is_available,
                                              TimePoint now) {
  if (is_available) {
    unavailable_since_.reset();
  } else if (!unavailable_since_ && call.offer.allowed_regions.empty()) {
    unavailable_since_ = now;
  }
}

BalancerStatus MeasuredBalancer::Status(TimePoint now) const {
  BalancerStatus status;
  status.table.endpoints = endpoints_.Status(now);
  status.table.probes_sent = probes_.sent();
  status.table.probes_withheld = probes_.withheld();
  status.table.probes_per_second = probes_.per_second();
  status.waiting = queue_.size();
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    status.waiting_by_urgency[n] = queue_.Waiting(static_cast<Urgency>(n));
  }
  status.retries_granted = retries_granted_;
  status.retries_withheld = retries_withheld_;
  status.hedges_granted = hedging_.granted();
  status.hedges_withheld = hedging_.withheld();
  status.slack_placements = slack_placements_;
  status.slack_refusals = slack_refusals_;
  status.returns_paced = pacing_.paced();
  status.returns_over_capacity = pacing_.over_capacity();
  status.is_capacity_short = slack_.IsShort(now);
  return status;
}

}  // namespace damasktack
