#include "policy/service_balancer.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace damasktack {

namespace {

// Lower bound of a paced Retry-After: the time in which a slot may become free
// at the host that the caller reaches next.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(15);

std::size_t Index(Urgency urgency) {
  return static_cast<std::size_t>(urgency);
}

AdmissionOptions AdmissionOptionsFrom(const BalancerOptions& options) {
  AdmissionOptions admission = options.admission;
  admission.max_waiting = static_cast<std::size_t>(options.max_waiting);
  return admission;
}

}  // namespace

ServiceBalancer::ServiceBalancer(BalancerOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      table_(options_.table),
      queue_(AdmissionOptionsFrom(options_)),
      reservation_(options_.reservation),
      retries_(options_.retries),
      hedging_(options_.hedge) {}

void ServiceBalancer::SetService(const ServiceSpec& service,
                                 std::int64_t hosts,
                                 TimePoint now) {
  hosts_ = std::max<std::int64_t>(hosts, 1);
  table_.SetService(service, hosts_, now);
  pacing_.SetHosts(hosts_);
  orders_by_slack_ =
      options_.slack_placement && service.route_mix.has_mixed_objectives;
}

void ServiceBalancer::Offer(const CallOffer& offer,
                            TimePoint now,
                            Decisions& out) {
  if (!IsPaced(offer)) {
    Admit(WaitingCall{offer, std::nullopt}, now, out);
    return;
  }
  returning_callers_.Record(offer.customer, offer.asked, now);
  const std::size_t before = out.rejections.size();
  Admit(WaitingCall{offer, std::nullopt}, now, out);
  for (std::size_t n = before; n < out.rejections.size(); ++n) {
    Rejection& it = out.rejections[n];
    if (it.token == offer.token) {
      it.retry_after = PacedRetryAfter(offer, now);
      it.basis.paced_by = pacing_.FleetCapacity(now);
    }
  }
}

bool ServiceBalancer::IsPaced(const CallOffer& offer) const {
  return options_.return_pacing_factor > 0 &&
         offer.timeout_factor >= options_.return_pacing_factor;
}

Duration ServiceBalancer::PacedRetryAfter(const CallOffer& offer,
                                          TimePoint now) {
  if (!IsPaced(offer)) {
    return Duration::zero();
  }
  const Duration least = MinServiceTime(offer.urgency);
  return std::max(
      pacing_.Delay({offer.urgency, kMinRetryAfter, offer.deadline - now,
                     offer.on_time_until - now - least},
                    now, random_),
      kMinRetryAfter);
}

Duration ServiceBalancer::RetryAfterSend(const CallOffer& offer,
                                         const SendEnd& /*end*/,
                                         TimePoint now) {
  if (IsPaced(offer) && table_.FreeSlots(now) >= 1) {
    return kMinRetryAfter;
  }
  return PacedRetryAfter(offer, now);
}

void ServiceBalancer::Admit(WaitingCall call, TimePoint now, Decisions& out) {
  UpdateUnusableSince(now);
  const CallToken token = call.offer.token;
  const Urgency urgency = call.offer.urgency;
  const OverloadPolicy overload_policy = call.offer.overload_policy;
  if (HasEndpointTimeoutPassed(now)) {
    out.rejections.push_back({token, Refusal::kNoEndpoint});
    return;
  }
  if (now + MinServiceTime(urgency) >= call.offer.deadline) {
    service_times_[Index(urgency)].OnRefusal();
    out.rejections.push_back({token, Refusal::kDeadline});
    return;
  }
  if (HasPrecedence(urgency)) {
    if (const auto endpoint = ChooseEndpoint(call, false, now)) {
      queue_.OnDirectDispatch(urgency);
      Send(call, *endpoint, now, out);
      return;
    }
  }
  if (queue_.Waiting(urgency) == 0) {
    last_served_[Index(urgency)] = now;
  }
  if (orders_by_slack_ || IsPaced(call.offer)) {
    const bool is_returning =
        returning_callers_.IsReturning(call.offer.customer, call.offer.asked);
    call.rank = {IsPaced(call.offer) && !is_returning,
                 orders_by_slack_
                     ? call.offer.on_time_until - MinServiceTime(urgency)
                     : call.offer.arrival};
  }
  queue_.Add(std::move(call), out.rejections);
  ProcessQueue(now, out);
  if (overload_policy == OverloadPolicy::kShed && queue_.Remove(token)) {
    out.rejections.push_back({token, Refusal::kShed});
    hedging_.OnRefusals(0, out, now);
  }
}

bool ServiceBalancer::HasPrecedence(Urgency urgency) const {
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    const auto other = static_cast<Urgency>(n);
    const bool precedes = other <= urgency || queue_.HasCredit(other);
    if (precedes && queue_.Waiting(other) > 0) {
      return false;
    }
  }
  return true;
}

bool ServiceBalancer::Withdraw(CallToken token, TimePoint /*now*/) {
  return queue_.Remove(token);
}

AfterSend ServiceBalancer::Finish(const CallOffer& offer,
                                  const SendEnd& end,
                                  TimePoint now,
                                  Decisions& out) {
  --in_flight_;
  table_.OnEnd(end.endpoint, end.result, end.took, now);
  if (end.report) {
    table_.OnReport(end.endpoint, *end.report, now);
  }
  Learn(offer, end, now);
  retries_.OnSendEnd(end.result);
  if (!MayRetry(offer, end, now)) {
    ProcessQueue(now, out);
    return AfterSend::kDone;
  }
  Admit(WaitingCall{offer, end.endpoint}, now, out);
  ProcessQueue(now, out);
  return AfterSend::kRetry;
}

void ServiceBalancer::Learn(const CallOffer& offer,
                            const SendEnd& end,
                            TimePoint now) {
  // Failures and sheds are often fast and would make the service look faster
  // than it is.
  if (end.result != SendResult::kAnswered) {
    return;
  }
  pacing_.OnAnswered(now);
  service_times_[Index(offer.urgency)].Learn(end.took);
  if (!end.report || end.report->pace <= options_.hedge.slow_pace) {
    hedging_.OnAnswer(offer, end.took);
  }
  const Duration execution =
      execution_time_.Estimate(end.took, RoundTripTo(end.endpoint), end.report);
  queue_.Learn(offer.urgency, offer.customer, execution);
}

Duration ServiceBalancer::RoundTripTo(EndpointIndex endpoint) const {
  const bool same_zone = table_.endpoint(endpoint).zone == options_.table.zone;
  return same_zone ? Duration::zero() : 2 * options_.table.zone_distance;
}

int ServiceBalancer::AttemptLimit(const CallOffer& offer) const {
  return offer.attempt_limit > 0
             ? std::min(offer.attempt_limit, options_.attempt_limit)
             : options_.attempt_limit;
}

// The pace of the first endpoint is not known, as the reports come with this
// host's own answers.
HedgeDecision ServiceBalancer::DecideHedge(const HedgeRequest& request,
                                           TimePoint now) {
  if (request.sends >= AttemptLimit(request.offer)) {
    return {};
  }
  const auto find = [&] {
    Hedging::Endpoints found;
    const PickRequest pick{request.offer.urgency, 1, request.first};
    const auto second = table_.Pick(pick, now, random_);
    if (second && *second != request.first &&
        table_.HasFreeSlot(*second, now)) {
      found.second = {request.offer.token, *second};
    }
    return found;
  };
  const auto probe = []() -> std::optional<Duration> { return std::nullopt; };
  HedgeDecision decision =
      hedging_.Decide(request, retries_, now, find, probe, probe);
  if (decision.dispatch) {
    table_.OnSend(decision.dispatch->endpoint, now);
    ++in_flight_;
  }
  return decision;
}

bool ServiceBalancer::MayRetry(const CallOffer& offer,
                               const SendEnd& end,
                               TimePoint now) {
  if (!MaySendAgain(end.result, offer.idempotent) || end.is_suspected) {
    return false;
  }
  // A hop further from the failure would multiply the retries of the nearest
  // hop: three sends at each of ten hops make 59,049.
  if (end.retried_downstream || offer.is_retry) {
    return false;
  }
  if (end.sends >= AttemptLimit(offer) ||
      now + MinServiceTime(offer.urgency) >= offer.deadline) {
    return false;
  }
  // If the services in between do not pass the outcome on, each hop spends its
  // budget on failures behind the next one: 1.1 times at each of ten hops make
  // 2.6 times.
  if (retries_.IsFutile(end.result) ||
      !retries_.TrySpend(offer.customer, offer.retry_percent, now)) {
    ++retries_withheld_;
    return false;
  }
  ++retries_granted_;
  return true;
}

void ServiceBalancer::Report(EndpointIndex endpoint,
                             const EndpointReport& report,
                             TimePoint now,
                             Decisions& out) {
  table_.OnReport(endpoint, report, now);
  ProcessQueue(now, out);
}

void ServiceBalancer::OnPeerDrain(const EndpointId& id, TimePoint now) {
  table_.OnPeerDrain(id, now);
}

void ServiceBalancer::Tick(TimePoint now, Decisions& out) {
  UpdateUnusableSince(now);
  ProcessQueue(now, out);
}

void ServiceBalancer::ProcessQueue(TimePoint now, Decisions& out) {
  if (queue_.empty()) {
    return;
  }
  const std::size_t before = out.rejections.size();
  UpdateUnusableSince(now);
  RejectUnservable(now, out);
  GrantFloorCredits(now);
  while (SendNext(now, out)) {
  }
  SendDespiteLoad(now, out);
  hedging_.OnRefusals(before, out, now);
}

void ServiceBalancer::RejectUnservable(TimePoint now, Decisions& out) {
  if (HasEndpointTimeoutPassed(now)) {
    queue_.Clear(Refusal::kNoEndpoint, out.rejections);
    return;
  }
  ServiceTimes least;
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    least[n] = MinServiceTime(static_cast<Urgency>(n));
  }
  const std::size_t before = out.rejections.size();
  queue_.Expire(now, least, out.rejections);
  if (!unusable_since_) {
    return;
  }
  for (std::size_t n = before; n < out.rejections.size(); ++n) {
    out.rejections[n].refusal = Refusal::kNoEndpoint;
  }
}

void ServiceBalancer::GrantFloorCredits(TimePoint now) {
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    const auto urgency = static_cast<Urgency>(n);
    if (queue_.Waiting(urgency) == 0) {
      continue;
    }
    const Duration max_interval = reservation_.MaxDispatchInterval(
        urgency, table_.UsableSlots(now), service_times_[n].Mean(), hosts_);
    if (now - last_served_[n] >= max_interval) {
      queue_.GrantCredit(urgency);
    }
  }
}

bool ServiceBalancer::SendNext(TimePoint now, Decisions& out) {
  for (const Urgency urgency : queue_.Order()) {
    const bool has_credit = queue_.HasCredit(urgency);
    const auto endpoint =
        ChooseEndpoint(*queue_.Head(urgency), has_credit, now);
    if (endpoint) {
      Send(queue_.Take(urgency), *endpoint, now, out);
      return true;
    }
  }
  return false;
}

bool ServiceBalancer::SendDespiteLoad(TimePoint now, Decisions& out) {
  // If every report is high or frozen, each host would wait for an answer that
  // only a send can bring. One send per host and interval is too little to harm
  // an endpoint that really is full.
  if (queue_.empty() || in_flight_ > 0 ||
      now - last_send_ < options_.forced_send_interval) {
    return false;
  }
  const Urgency urgency = *queue_.Order().begin();
  PickRequest request{urgency, std::numeric_limits<double>::max(),
                      queue_.Head(urgency)->avoid};
  const auto endpoint = table_.Pick(request, now, random_);
  if (!endpoint) {
    return false;
  }
  Send(queue_.Take(urgency), *endpoint, now, out);
  return true;
}

std::optional<EndpointIndex> ServiceBalancer::ChooseEndpoint(
    const WaitingCall& call,
    bool has_credit,
    TimePoint now) {
  const Urgency urgency = call.offer.urgency;
  if (!has_credit && urgency != Urgency::kUrgent) {
    const SlotView slots{table_.FreeSlots(now), table_.UsableSlots(now)};
    if (!reservation_.Allows(urgency, slots)) {
      return std::nullopt;
    }
  }
  const PickRequest request{urgency, reservation_.MaxLoad(urgency, has_credit),
                            call.avoid};
  return table_.Pick(request, now, random_);
}

void ServiceBalancer::Send(const WaitingCall& call,
                           EndpointIndex endpoint,
                           TimePoint now,
                           Decisions& out) {
  table_.OnSend(endpoint, now);
  ++in_flight_;
  last_send_ = now;
  last_served_[Index(call.offer.urgency)] = now;
  const bool first_send = !call.avoid;
  if (first_send) {
    retries_.OnFirstSend(call.offer.customer, call.offer.retry_percent, now);
  }
  out.dispatches.push_back({call.offer.token, endpoint});
}

Duration ServiceBalancer::MinServiceTime(Urgency urgency) const {
  return std::min(table_.TypicalServiceTime(),
                  service_times_[Index(urgency)].Least());
}

void ServiceBalancer::UpdateUnusableSince(TimePoint now) {
  if (table_.AnyUsable(now)) {
    unusable_since_.reset();
  } else if (!unusable_since_) {
    unusable_since_ = now;
  }
}

// Also true if the stated limits keep every endpoint from accepting a call for
// longer than calls wait for one.
bool ServiceBalancer::HasEndpointTimeoutPassed(TimePoint now) const {
  const TimePoint timeout_at = now + options_.no_endpoint_timeout;
  const auto available_at = table_.AvailableAt(now, timeout_at);
  const bool is_unavailable = available_at && *available_at >= timeout_at;
  return is_unavailable ||
         (unusable_since_ &&
          now - *unusable_since_ >= options_.no_endpoint_timeout);
}

std::optional<EndpointIndex> ServiceBalancer::NextProbe(TimePoint now) {
  return table_.NextProbe(now);
}

void ServiceBalancer::ProbeFailed(EndpointIndex endpoint,
                                  SendResult result,
                                  TimePoint now,
                                  Decisions& /*out*/) {
  table_.ProbeFailed(endpoint, result, now);
}

const EndpointSpec& ServiceBalancer::endpoint(EndpointIndex index) const {
  return table_.endpoint(index);
}

std::size_t ServiceBalancer::waiting() const {
  return queue_.size();
}

BalancerStatus ServiceBalancer::Status(TimePoint now) const {
  BalancerStatus status;
  status.table = table_.Status(now);
  status.waiting = queue_.size();
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    status.waiting_by_urgency[n] = queue_.Waiting(static_cast<Urgency>(n));
  }
  status.retries_granted = retries_granted_;
  status.retries_withheld = retries_withheld_;
  status.hedges_granted = hedging_.granted();
  status.hedges_withheld = hedging_.withheld();
  status.returns_paced = pacing_.paced();
  status.returns_over_capacity = pacing_.over_capacity();
  return status;
}

}  // namespace damasktack
