#include "proxy/service_dispatcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "policy/scaled_time.h"

namespace damasktack {

namespace {

// Another host may serve the caller at once.
constexpr Duration kUnreachableRetryAfter = std::chrono::milliseconds(20);

std::int64_t ToMs(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

bool HasResponse(SendResult result) {
  return result == SendResult::kAnswered || result == SendResult::kFailed ||
         result == SendResult::kShed || result == SendResult::kMisdirected;
}

}  // namespace

ServiceDispatcher::ServiceDispatcher(std::unique_ptr<Balancer> balancer,
                                     ConnectionShare share,
                                     EndpointRates& rates,
                                     std::function<void()> on_waiting)
    : share_(share),
      rates_(rates),
      balancer_(std::move(balancer)),
      on_waiting_(std::move(on_waiting)) {}

void ServiceDispatcher::SetWhenUnreachable(WhenUnreachable when,
                                           OnReach on_reach) {
  when_unreachable_ = when;
  on_reach_ = std::move(on_reach);
}

void ServiceDispatcher::SetService(const ServiceSpec& service,
                                   std::int64_t hosts,
                                   TimePoint now) {
  const std::lock_guard lock(mutex_);
  hosts_ = std::max<std::int64_t>(hosts, 1);
  service_ = service.id;
  health_path_ = service.health_path;
  balancer_->SetService(service, hosts, now);
  overload_.SetService(service);
  const bool was_unreachable = reach_.is_unreachable();
  reach_.SetEndpoints(service.endpoints, now);
  LogReach(was_unreachable, reach_.SilentFor(now));
}

void ServiceDispatcher::SetOverloadView(OverloadView& view) {
  const std::lock_guard lock(mutex_);
  overload_.SetView(&view);
}

std::optional<ServiceCapacity> ServiceDispatcher::Capacity() const {
  const std::lock_guard lock(mutex_);
  return overload_.capacity();
}

void ServiceDispatcher::RenderOverload(std::ostream& out) const {
  const std::lock_guard lock(mutex_);
  overload_.Render(out);
}

void ServiceDispatcher::SetHostNumber(const HostNumber& host_number) {
  const std::lock_guard lock(mutex_);
  balancer_->SetHostNumber(host_number);
}

void ServiceDispatcher::Offer(const CallOffer& offer,
                              OnPlaced on_placed,
                              TimePoint now) {
  Notices notices;
  {
    const std::lock_guard lock(mutex_);
    waiting_.emplace(offer.token, WaitingEntry{std::move(on_placed),
                                               offer.urgency, offer.deadline});
    Decisions decisions;
    if (RefusesCalls()) {
      decisions.rejections.push_back(
          {offer.token, Refusal::kUnreachable, kUnreachableRetryAfter});
    } else {
      OfferToBalancer(offer, now, decisions);
    }
    notices = EndEvent(decisions, now);
  }
  Notify(notices);
}

void ServiceDispatcher::OfferToBalancer(const CallOffer& offer,
                                        TimePoint now,
                                        Decisions& decisions) {
  const UrgencyAdmission::Verdict verdict =
      overload_.Decide(offer.urgency, now);
  if (!verdict.is_admitted) {
    waiting_.at(offer.token).is_refused_by_urgency = true;
    decisions.rejections.push_back(
        {offer.token, Refusal::kShed, ServiceOverload::kRetryAfter});
  } else if (verdict.time_fraction < 1) {
    CallOffer earlier = offer;
    earlier.on_time_until =
        now + Scaled(offer.on_time_until - now, verdict.time_fraction);
    balancer_->Offer(earlier, now, decisions);
  } else {
    balancer_->Offer(offer, now, decisions);
  }
}

bool ServiceDispatcher::Withdraw(CallToken token, TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (!balancer_->Withdraw(token, now)) {
    return false;
  }
  const auto it = waiting_.find(token);
  if (it != waiting_.end()) {
    if (now >= it->second.deadline) {
      overload_.OnRefused(it->second.urgency, Refusal::kDeadline, now);
    }
    waiting_.erase(it);
  }
  return true;
}

AfterSend ServiceDispatcher::Finish(const CallOffer& offer,
                                    const SendEnd& end,
                                    OnPlaced on_placed,
                                    TimePoint now) {
  Notices notices;
  AfterSend after = AfterSend::kDone;
  std::optional<StatedRate> stated;
  {
    const std::lock_guard lock(mutex_);
    waiting_.emplace(offer.token, WaitingEntry{std::move(on_placed),
                                               offer.urgency, offer.deadline});
    // An endpoint that exceeds the call's deadline may only be slow.
    if (end.result != SendResult::kTimedOut) {
      RecordReach(end.endpoint, end.result, now - end.took, now);
    }
    if (end.report) {
      RecordDrain(end.endpoint, *end.report);
      overload_.OnReport(*end.report);
    }
    if (end.signals) {
      stated = TakeSignals(end.endpoint, now, [&] {
        balancer_->OnSignals(end.endpoint, *end.signals, now - end.took, now);
      });
    }
    Decisions decisions;
    after = balancer_->Finish(offer, end, now, decisions);
    if (after == AfterSend::kDone) {
      waiting_.erase(offer.token);
      // A call with two sends is counted once, by the send that decides it; the
      // other one is reported as a retry.
      if (!offer.is_retry) {
        overload_.OnCallEnd(offer, end, now);
      }
    }
    notices = EndEvent(decisions, now);
  }
  PublishRateLimit(stated);
  Notify(notices);
  return after;
}

HedgePlacement ServiceDispatcher::DecideHedge(const HedgeRequest& request,
                                              TimePoint now) {
  HedgePlacement out;
  bool has_probes = false;
  {
    const std::lock_guard lock(mutex_);
    if (RefusesCalls()) {
      return out;
    }
    const HedgeDecision decision = balancer_->DecideHedge(request, now);
    out.ask_again_after = decision.ask_again_after;
    has_probes = decision.has_probes;
    if (const auto& it = decision.dispatch) {
      out.placement = Placement{
          Refusal::kNone, it->endpoint, TargetOf(it->endpoint), {}, it->basis};
    }
  }
  if (has_probes && on_waiting_) {
    on_waiting_();
  }
  return out;
}

Duration ServiceDispatcher::RetryAfterSend(const CallOffer& offer,
                                           const SendEnd& end,
                                           TimePoint now) {
  const std::lock_guard lock(mutex_);
  return balancer_->RetryAfterSend(offer, end, now);
}

void ServiceDispatcher::Report(const ProbeRequest& probe,
                               const EndpointReport& report,
                               TimePoint now) {
  Notices notices;
  {
    const std::lock_guard lock(mutex_);
    if (!IsCurrent(probe)) {
      return;
    }
    RecordReach(probe.endpoint, SendResult::kAnswered, now, now);
    RecordDrain(probe.endpoint, report);
    overload_.OnReport(report);
    Decisions decisions;
    balancer_->Report(probe.endpoint, report, now, decisions);
    notices = EndEvent(decisions, now);
  }
  Notify(notices);
}

void ServiceDispatcher::OnProbeSignals(const ProbeRequest& probe,
                                       const EndpointSignals& signals,
                                       TimePoint now) {
  std::optional<StatedRate> stated;
  {
    const std::lock_guard lock(mutex_);
    if (!IsCurrent(probe)) {
      return;
    }
    stated = TakeSignals(probe.endpoint, now, [&] {
      balancer_->OnProbeSignals(probe.endpoint, signals, now);
    });
  }
  PublishRateLimit(stated);
}

template <typename Take>
std::optional<StatedRate> ServiceDispatcher::TakeSignals(EndpointIndex endpoint,
                                                         TimePoint now,
                                                         Take take) {
  const std::optional<double> before = balancer_->RateLimit(endpoint);
  take();
  const std::optional<double> after = balancer_->RateLimit(endpoint);
  if (before == after) {
    return std::nullopt;
  }
  const EndpointSpec& spec = balancer_->endpoint(endpoint);
  return StatedRate{{spec.id, spec.started_at}, after, now};
}

void ServiceDispatcher::PublishRateLimit(
    const std::optional<StatedRate>& stated) {
  if (stated) {
    rates_.OnStated(*stated);
  }
}

void ServiceDispatcher::OnPeerRateLimit(const StatedRate& stated) {
  const std::lock_guard lock(mutex_);
  balancer_->OnPeerRateLimit(stated.endpoint, stated.rate_limit, stated.at);
}

void ServiceDispatcher::ProbeFailed(const ProbeRequest& probe,
                                    SendResult result,
                                    TimePoint began_at,
                                    TimePoint now) {
  Notices notices;
  {
    const std::lock_guard lock(mutex_);
    if (!IsCurrent(probe)) {
      return;
    }
    RecordReach(probe.endpoint, result, began_at, now);
    Decisions decisions;
    balancer_->ProbeFailed(probe.endpoint, result, now, decisions);
    notices = EndEvent(decisions, now);
  }
  Notify(notices);
}

void ServiceDispatcher::OnPeerDrain(const EndpointId& endpoint, TimePoint now) {
  const std::lock_guard lock(mutex_);
  balancer_->OnPeerDrain(endpoint, now);
}

std::set<EndpointId> ServiceDispatcher::TakeDrainObservations() {
  const std::lock_guard lock(mutex_);
  return std::exchange(observed_drains_, {});
}

void ServiceDispatcher::RecordDrain(EndpointIndex endpoint,
                                    const EndpointReport& report) {
  if (report.mode == EndpointMode::kDraining) {
    observed_drains_.insert(balancer_->endpoint(endpoint).id);
  }
}

bool ServiceDispatcher::Tick(TimePoint now) {
  Notices notices;
  {
    const std::lock_guard lock(mutex_);
    Decisions decisions;
    balancer_->Tick(now, decisions);
    notices = EndEvent(decisions, now);
  }
  // The owner of the ticks is told by the result.
  const bool waiting = std::exchange(notices.waiting, false);
  Notify(notices);
  return waiting;
}

std::optional<ProbeRequest> ServiceDispatcher::NextProbe(TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (const std::optional<ProbeRequest> probe = NextReachProbe(now)) {
    return probe;
  }
  const std::optional<EndpointIndex> next = balancer_->NextProbe(now);
  if (!next) {
    return std::nullopt;
  }
  return ProbeRequest{*next, TargetOf(*next)};
}

BalancerStatus ServiceDispatcher::Status(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return balancer_->Status(now);
}

bool ServiceDispatcher::IsReachable() const {
  const std::lock_guard lock(mutex_);
  return !reach_.is_unreachable();
}

Duration ServiceDispatcher::UnreachableFor(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  const std::optional<TimePoint> since = reach_.unreachable_since();
  return since ? now - *since : Duration::zero();
}

void ServiceDispatcher::CountProbe(std::uint64_t bytes) {
  ++probes_;
  probe_bytes_ += bytes;
}

ProbeCost ServiceDispatcher::probe_cost() const {
  return ProbeCost{probes_, probe_bytes_};
}

EndpointTarget ServiceDispatcher::TargetOf(EndpointIndex endpoint) const {
  const EndpointSpec& spec = balancer_->endpoint(endpoint);
  const std::int64_t part = spec.connections / (hosts_ * share_.threads);
  const std::int64_t max_per_thread =
      std::min(share_.max_per_thread, std::max<std::int64_t>(part, 1));
  return EndpointTarget{spec.address, static_cast<std::size_t>(max_per_thread),
                        spec.id, health_path_, spec.started_at};
}

bool ServiceDispatcher::IsCurrent(const ProbeRequest& probe) const {
  const EndpointSpec& spec = balancer_->endpoint(probe.endpoint);
  return spec.id == probe.target.id && spec.address == probe.target.address &&
         spec.started_at == probe.target.started_at;
}

std::vector<ServiceDispatcher::Placed> ServiceDispatcher::Resolve(
    const Decisions& decisions,
    TimePoint now) {
  LogChanges();
  std::vector<Placed> placed;
  const auto take = [&](CallToken token, Placement placement) {
    const auto it = waiting_.find(token);
    if (it == waiting_.end()) {
      return;
    }
    if (placement.refusal != Refusal::kNone &&
        !it->second.is_refused_by_urgency) {
      overload_.OnRefused(it->second.urgency, placement.refusal, now);
    }
    placed.push_back(
        Placed{std::move(it->second.on_placed), std::move(placement)});
    waiting_.erase(it);
  };
  for (const Dispatch& it : decisions.dispatches) {
    take(it.token,
         Placement{
             Refusal::kNone, it.endpoint, TargetOf(it.endpoint), {}, it.basis});
  }
  for (const Rejection& it : decisions.rejections) {
    take(it.token, Placement{it.refusal, 0, {}, it.retry_after, it.basis});
  }
  return placed;
}

// The number of log lines is bounded: at most a third of a service's endpoints
// are ejected at a time, and each for at least one second.
void ServiceDispatcher::LogChanges() {
  for (const EndpointChange& it : balancer_->TakeChanges()) {
    spdlog::info("event=endpoint-state endpoint={} from={} to={} reason=\"{}\"",
                 it.endpoint.text(), it.from, it.to, it.reason);
  }
}

// Without calls that are refused, the balancer's own probes notice the return,
// within the budget of probes.
std::optional<ProbeRequest> ServiceDispatcher::NextReachProbe(TimePoint now) {
  const std::optional<EndpointId> id =
      RefusesCalls() ? reach_.NextProbe(now) : std::nullopt;
  const std::optional<EndpointIndex> index =
      id ? balancer_->FindEndpoint(*id) : std::nullopt;
  if (!index) {
    return std::nullopt;
  }
  return ProbeRequest{*index, TargetOf(*index), true};
}

void ServiceDispatcher::RefuseUnreachable(TimePoint now,
                                          std::vector<Placed>& placed) {
  if (!RefusesCalls()) {
    return;
  }
  for (auto it = waiting_.begin(); it != waiting_.end();) {
    if (!balancer_->Withdraw(it->first, now)) {
      ++it;
      continue;
    }
    placed.push_back(Placed{
        std::move(it->second.on_placed),
        Placement{Refusal::kUnreachable, 0, {}, kUnreachableRetryAfter}});
    it = waiting_.erase(it);
  }
}

ServiceDispatcher::Notices ServiceDispatcher::EndEvent(
    const Decisions& decisions,
    TimePoint now) {
  Notices notices;
  notices.placed = Resolve(decisions, now);
  notices.has_load = overload_.Update(now);
  RefuseUnreachable(now, notices.placed);
  notices.waiting = balancer_->waiting() > 0;
  const bool is_reachable = !reach_.is_unreachable();
  if (std::exchange(reported_reachable_, is_reachable) != is_reachable) {
    notices.reach = ReachChange{service_, is_reachable};
  }
  return notices;
}

void ServiceDispatcher::RecordReach(EndpointIndex endpoint,
                                    SendResult result,
                                    TimePoint began_at,
                                    TimePoint now) {
  const bool was_unreachable = reach_.is_unreachable();
  const Duration silent = reach_.SilentFor(now);
  if (HasResponse(result)) {
    reach_.OnResponse(now);
  } else if (result != SendResult::kCancelled) {
    reach_.OnNoResponse(balancer_->endpoint(endpoint).id, began_at, now);
  }
  LogReach(was_unreachable, silent);
}

void ServiceDispatcher::LogReach(bool was_unreachable, Duration silent) const {
  if (was_unreachable == reach_.is_unreachable()) {
    return;
  }
  if (was_unreachable) {
    spdlog::info("event=service-reachable service={} silent_ms={}",
                 service_.text(), ToMs(silent));
    return;
  }
  spdlog::warn("event=service-unreachable service={} failing={} silent_ms={}",
               service_.text(), reach_.failing(), ToMs(silent));
}

void ServiceDispatcher::Notify(const Notices& notices) {
  if (notices.reach && on_reach_) {
    on_reach_(notices.reach->service, notices.reach->is_reachable);
  }
  for (const Placed& it : notices.placed) {
    it.on_placed(it.placement);
  }
  if (notices.has_load) {
    overload_.NotifyPeers();
  }
  if (notices.waiting && on_waiting_) {
    on_waiting_();
  }
}

}  // namespace damasktack
