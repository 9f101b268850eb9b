#include "policy/measured_balancer.h"

#include <algorithm>
#include <utility>

#include "policy/scaled_time.h"

namespace damasktack {

namespace {

// Bounds of Retry-After. The shorter one is the time in which a slow server may
// become a fast one, or a slot free, at the host that the caller meets next.
// Not spread at random: callers come back to other hosts, and a longer wait on
// average has fewer of them served.
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(15);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(1);

// From 0 to 1.
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
      retries_(options_.retries, RandomFraction(random_)) {}

void MeasuredBalancer::SetService(const ServiceSpec& service,
                                  std::int64_t hosts,
                                  TimePoint now) {
  retries_.SetFleet(hosts, service.endpoints.size(), now);
  probes_.Share(service.endpoints.size(), hosts, now);
  endpoints_.SetService(service, hosts, now);
}

std::optional<MeasuredCandidate> MeasuredBalancer::BestFreshOnTime(
    const WaitingCall& call,
    TimePoint now) {
  if (probes_.CountFresh(now) < options_.enough) {
    return std::nullopt;
  }
  const std::optional<MeasuredCandidate> best = endpoints_.Best(
      call, MeasuredEndpoints::CandidateSet::kFresh, now, random_);
  return best && IsOnTime(call, *best, now) ? best : std::nullopt;
}

bool MeasuredBalancer::IsOnTime(const WaitingCall& call,
                                const MeasuredCandidate& best,
                                TimePoint now) const {
  return now + Scaled(best.finish, options_.on_time_margin) <=
         call.offer.on_time_until;
}

// Nowhere is the call on time. It goes to a place that is free, if it ends
// before its deadline there, though late.
bool MeasuredBalancer::IsLastChance(const WaitingCall& call,
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
    if (!endpoints_.HasEndpointInRegionsOf(call)) {
      return {Step::kRefuse, best};
    }
    const bool looks = probes_.HasPendingProbes(now) ||
                       probes_.RequestProbes(call, now, random_);
    const TimePoint since =
        std::min(no_place_since_.value_or(now), call.offer.arrival);
    const bool is_given_up =
        !looks && (IsUnavailableTooLong(call, now) ||
                   now - since >= options_.no_endpoint_timeout);
    return {is_given_up ? Step::kRefuse : Step::kWait, best};
  }
  if (best->is_good) {
    return {Step::kSend, best};
  }
  if (const std::optional<MeasuredCandidate> settled =
          BestFreshOnTime(call, now)) {
    return {Step::kSend, settled};
  }
  if (probes_.HasPendingProbes(now) ||
      probes_.RequestProbes(call, now, random_)) {
    return {Step::kWait, best};
  }
  if (IsOnTime(call, *best, now)) {
    return {Step::kSend, best};
  }
  const bool is_last_chance = IsLastChance(call, *best, now);
  return {is_last_chance ? Step::kSend : Step::kRefuse, best};
}

bool MeasuredBalancer::IsUnavailableTooLong(const WaitingCall& call,
                                            TimePoint now) const {
  const TimePoint patience_ends = now + options_.no_endpoint_timeout;
  const auto opens_at = endpoints_.AvailableAt(call, now, patience_ends);
  return opens_at && *opens_at >= patience_ends;
}

void MeasuredBalancer::Offer(const CallOffer& offer,
                             TimePoint now,
                             Decisions& out) {
  callers_.Note(offer.customer, offer.asked, now);
  Admit(WaitingCall{offer, std::nullopt}, now, out);
}

void MeasuredBalancer::Admit(WaitingCall call, TimePoint now, Decisions& out) {
  endpoints_.GuessUsualTime(call.offer);
  queue_.Add(std::move(call), out.rejections);
  Pump(now, out);
}

bool MeasuredBalancer::Withdraw(CallToken token, TimePoint /*now*/) {
  return queue_.Remove(token);
}

void MeasuredBalancer::Pump(TimePoint now, Decisions& out) {
  if (queue_.empty()) {
    return;
  }
  queue_.Expire(now, ServiceTimes{}, out.rejections);
  while (PumpOne(now, out)) {
  }
}

bool MeasuredBalancer::PumpOne(TimePoint now, Decisions& out) {
  for (const Urgency urgency : queue_.Order()) {
    const WaitingCall& head = *queue_.Head(urgency);
    const auto [step, best] = Decide(head, now);
    if (step == Step::kSend) {
      Send(queue_.Take(urgency), *best, now, out);
      return true;
    }
    if (step == Step::kRefuse) {
      const WaitingCall call = head;
      queue_.Remove(call.offer.token);
      out.rejections.push_back(
          {call.offer.token, best ? Refusal::kShed : Refusal::kNoEndpoint,
           RetryAfter(call, best, now), BasisOf(best, now)});
      return true;
    }
  }
  return false;
}

Duration MeasuredBalancer::RetryAfter(
    const WaitingCall& call,
    const std::optional<MeasuredCandidate>& best,
    TimePoint now) const {
  Duration wait = kShortestRetryAfter;
  if (best) {
    wait = std::max(wait, now + best->finish - call.offer.on_time_until);
  } else if (const auto opens_at =
                 endpoints_.AvailableAt(call, now, now + kLongestRetryAfter)) {
    wait = std::max(wait, *opens_at - now);
  }
  return std::min(wait, kLongestRetryAfter);
}

DecisionBasis MeasuredBalancer::BasisOf(
    const std::optional<MeasuredCandidate>& best,
    TimePoint now) const {
  if (!best) {
    return {};
  }
  return {best->finish, endpoints_.measure(best->index).ReportAge(now),
          endpoints_.ColdBasisOf(*best, now)};
}

void MeasuredBalancer::Send(const WaitingCall& call,
                            const MeasuredCandidate& best,
                            TimePoint now,
                            Decisions& out) {
  out.dispatches.push_back({call.offer.token, best.index, BasisOf(best, now)});
  endpoints_.OnSend(call.offer.token, best, now);
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
  endpoints_.OnSendEnd(end, now);
  retries_.OnSendEnd(end.result);
  if (!MayRetry(offer, end, now)) {
    Pump(now, out);
    return AfterSend::kDone;
  }
  Admit(WaitingCall{offer, end.endpoint}, now, out);
  return AfterSend::kRetry;
}

Duration MeasuredBalancer::RetryAfterSend(const CallOffer& offer,
                                          const SendEnd& end,
                                          TimePoint now) {
  const WaitingCall call{offer, end.endpoint};
  return RetryAfter(call,
                    endpoints_.Best(call, MeasuredEndpoints::CandidateSet::kAll,
                                    now, random_),
                    now);
}

// A caller that comes for the first time has another try of its own, which
// costs no repeat; one that has come back is lost when it is refused. Where
// endpoints refuse half of what they get, repeats for everybody were spent on
// those that would have come back.
bool MeasuredBalancer::IsLeftToCaller(const CallOffer& offer) const {
  return retries_.AreScarce() &&
         !callers_.IsReturning(offer.customer, offer.asked);
}

bool MeasuredBalancer::MayRetry(const CallOffer& offer,
                                const SendEnd& end,
                                TimePoint now) {
  if (!MaySendAgain(end.result, offer.idempotent) || end.retried_downstream ||
      end.is_suspected || offer.is_repeat) {
    return false;
  }
  const int attempt_limit =
      offer.attempt_limit > 0
          ? std::min(offer.attempt_limit, options_.attempt_limit)
          : options_.attempt_limit;
  if (end.sends >= attempt_limit ||
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
  Pump(now, out);
}

void MeasuredBalancer::ProbeFailed(EndpointIndex endpoint,
                                   SendResult result,
                                   TimePoint now,
                                   Decisions& out) {
  endpoints_.OnProbeFailed(endpoint, result, now);
  Pump(now, out);
}

void MeasuredBalancer::OnPeerDrain(const EndpointId& id, TimePoint now) {
  endpoints_.OnPeerDrain(id, now);
}

void MeasuredBalancer::Tick(TimePoint now, Decisions& out) {
  Pump(now, out);
}

std::optional<EndpointIndex> MeasuredBalancer::NextProbe(TimePoint /*now*/) {
  return probes_.Next();
}

// A call that may go to some regions only says nothing of the others.
void MeasuredBalancer::UpdateUnavailableSince(const WaitingCall& call,
                                              bool is_there,
                                              TimePoint now) {
  if (is_there) {
    no_place_since_.reset();
  } else if (!no_place_since_ && call.offer.allowed_regions.empty()) {
    no_place_since_ = now;
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
  return status;
}

}  // namespace damasktack
