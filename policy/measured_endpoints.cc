#include "policy/measured_endpoints.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <string_view>

#include "policy/scaled_time.h"

namespace damasktack {

namespace {

// Weight of a new report in the averages of the service.
constexpr double kSampleWeight = 1.0 / 16;
// Divisor of the first call's time until its objective; the result is the
// assumed execution time until the first answer.
constexpr int kInitialTimeDivisor = 3;
// Cost factor of an endpoint in slow start, which may take twice as long as
// usual. It applies after the host's first call there, which warms the endpoint
// up, so that other free endpoints are preferred.
constexpr double kSlowStartCostFactor = 1.35;
// Endpoints listed within this time after the first list count as part of it:
// when a whole service starts, its endpoints are published one by one, and none
// of them should be probed before the others.
constexpr Duration kStartupPeriod = std::chrono::seconds(5);
// Cost factor for probing an endpoint that has joined and was never measured.
// Without it the endpoint would be left out of the first probes and get no
// calls while the others suffice. It applies only on hosts that have the
// endpoint in their first group, so that not every host opens a connection to
// every new endpoint.
constexpr double kNewEndpointCostFactor = 0.3;
// Cost factor of an endpoint on trial, which takes calls only if nothing better
// is available.
constexpr double kTrialCostFactor = 2;
// A failed probe within this time makes an endpoint the last choice.
constexpr Duration kProbeFailureHoldTime = std::chrono::milliseconds(800);
constexpr double kProbeFailureCostFactor = 8;
// Penalty up to which an endpoint counts as reliable: it refuses one call in
// eighty more than the others.
constexpr double kReliablePenalty = 0.1;
// Number of answers to calls and probes without any report after which a
// service is assumed to send none.
constexpr std::uint64_t kAnswersWithoutReport = 8;

bool HasHadCalls(const EndpointRecord& record) {
  return record.estimate.own_in_flight() > 0 || record.health.ever_ended();
}

}  // namespace

MeasuredEndpoints::MeasuredEndpoints(const MeasuredBalancerOptions& options)
    : options_(options),
      cold_(options.host, options.cold),
      limits_(options.host),
      preference_(options.preference) {}

void MeasuredEndpoints::SetService(const ServiceSpec& service,
                                   std::int64_t hosts,
                                   TimePoint now) {
  cold_.SetService(service, hosts, now);
  limits_.SetService(service.endpoints.size(), hosts, now);
  const bool has_left = Unlist(service, now);
  if (!first_list_at_ && !service.endpoints.empty()) {
    first_list_at_ = now;
  }
  const bool assume_warm =
      first_list_at_ && now - *first_list_at_ < kStartupPeriod;
  bool has_changed = false;
  for (const EndpointSpec& it : service.endpoints) {
    const auto known = listed_.find(it.id);
    if (known == listed_.end() || specs_[known->second] != it) {
      ApplySpec(it, assume_warm, now);
      has_changed = true;
    }
  }
  if (has_left || has_changed) {
    roster_.Recount();
    UpdatePreference();
  }
}

bool MeasuredEndpoints::Unlist(const ServiceSpec& service, TimePoint now) {
  std::unordered_map<std::string_view, const EndpointSpec*> list;
  for (const EndpointSpec& it : service.endpoints) {
    list.emplace(it.id.text(), &it);
  }
  const auto gone = std::erase_if(listed_, [&](const auto& known) {
    const EndpointSpec& spec = specs_[known.second];
    const auto it = list.find(spec.id.text());
    if (it != list.end() && it->second->IsSameProcess(spec)) {
      return false;
    }
    roster_.OnUnlisted(known.second, now);
    unlisted_ids_.insert(spec.id);
    return true;
  });
  return gone > 0;
}

void MeasuredEndpoints::ApplySpec(const EndpointSpec& spec,
                                  bool assume_warm,
                                  TimePoint now) {
  const auto [known, is_new] = listed_.try_emplace(spec.id);
  if (is_new) {
    known->second = Add(spec, assume_warm, now);
  }
  const EndpointIndex index = known->second;
  cold_.OnListed(index, is_new ? nullptr : &specs_[index], spec, now);
  specs_[index] = spec;
  EndpointRecord& record = roster_.record(index);
  record.slots = static_cast<double>(std::max<std::int64_t>(spec.slots, 1));
  record.other_zone = spec.zone != options_.zone;
  roster_.OnListed(index, spec, now);
}

EndpointIndex MeasuredEndpoints::Add(const EndpointSpec& spec,
                                     bool assume_warm,
                                     TimePoint now) {
  const bool has_restarted = unlisted_ids_.contains(spec.id);
  const EndpointIndex index = roster_.Add(assume_warm && !has_restarted, now);
  if (index < specs_.size()) {
    const auto before = unlisted_ids_.find(specs_[index].id);
    if (before != unlisted_ids_.end()) {
      unlisted_ids_.erase(before);
    }
    measures_[index] = EndpointMeasure();
  } else {
    specs_.resize(index + 1);
    measures_.resize(index + 1);
  }
  limits_.OnAdded(index, spec.id);
  return index;
}

bool MeasuredEndpoints::IsAllowed(const WaitingCall& call,
                                  EndpointIndex index) const {
  const std::vector<RegionId>& allowed = call.offer.allowed_regions;
  return allowed.empty() ||
         std::ranges::find(allowed, specs_[index].region) != allowed.end();
}

bool MeasuredEndpoints::IsEligible(const WaitingCall& call,
                                   EndpointIndex index) const {
  const bool is_avoided = usable().size() > 1 && call.avoid == index;
  return !is_avoided && IsAllowed(call, index);
}

bool MeasuredEndpoints::HasEndpointInRegionsOf(const WaitingCall& call) const {
  return call.offer.allowed_regions.empty() ||
         std::ranges::any_of(
             usable(), [&](EndpointIndex it) { return IsAllowed(call, it); });
}

bool MeasuredEndpoints::CanAcceptCall(const MeasuredCandidate& candidate,
                                      TimePoint now) const {
  const ColdObservation observation{candidate.index, candidate.is_fresh,
                                    candidate.calls, candidate.slots};
  return limits_.CanAcceptCall(candidate.index, now) &&
         cold_.CanAcceptCall(observation, now);
}

std::optional<ColdBasis> MeasuredEndpoints::ColdBasisOf(
    const MeasuredCandidate& candidate,
    TimePoint now) const {
  std::optional<ColdBasis> basis = cold_.BasisOf(candidate.index, now);
  if (basis) {
    basis->calls = candidate.calls;
    basis->slots = candidate.slots;
    basis->asked_age = measures_[candidate.index].AskedAge(now);
  }
  return basis;
}

// Other endpoints are always as free, so without this rule an endpoint with a
// limit would hardly receive requests, and no host would learn that its limit
// has ended.
bool MeasuredEndpoints::IsLimitedAndFree(
    const MeasuredCandidate& candidate) const {
  return limits_.rate_limit(candidate.index) && candidate.HasFreeSlot() &&
         candidate.pace <= options_.good_pace;
}

std::optional<TimePoint> MeasuredEndpoints::AvailableAt(
    const WaitingCall& call,
    TimePoint now,
    TimePoint latest) const {
  if (call.offer.allowed_regions.empty()) {
    return limits_.FirstAvailableAt(usable(), now, latest);
  }
  std::vector<EndpointIndex> allowed;
  std::ranges::copy_if(usable(), std::back_inserter(allowed),
                       [&](EndpointIndex it) { return IsAllowed(call, it); });
  return limits_.FirstAvailableAt(allowed, now, latest);
}

void MeasuredEndpoints::UpdatePreference() {
  std::vector<EndpointPreference::Choice> choices;
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    const EndpointRecord& record = roster_.records()[n];
    if (record.listed && !record.listed_as_leaving) {
      choices.push_back({n, specs_[n].id, record.other_zone});
    }
  }
  preference_.Draw(options_.host, choices, specs_.size());
}

void MeasuredEndpoints::GuessUsualTime(const CallOffer& offer) {
  if (!profile_.is_known()) {
    profile_.Guess((offer.on_time_until - offer.arrival) / kInitialTimeDivisor);
  }
}

bool MeasuredEndpoints::AreReporting() const {
  return reports_ > 0 || answers_without_report_ < kAnswersWithoutReport;
}

double MeasuredEndpoints::PaceOf(EndpointIndex index, TimePoint now) const {
  const EndpointRecord& record = roster_.records()[index];
  double pace = measures_[index].Pace(prior_, options_.memory, now);
  if (record.state == EndpointState::kTrial) {
    pace *= kTrialCostFactor;
  } else if (cold_.IsSlow(index, now)) {
    pace *= cold_slowdown_.value();
  } else if (record.state != EndpointState::kServing && HasHadCalls(record)) {
    pace *= kSlowStartCostFactor;
  }
  if (measures_[index].FailedSince(now - kProbeFailureHoldTime)) {
    pace *= kProbeFailureCostFactor;
  }
  return pace;
}

double MeasuredEndpoints::CallsAt(EndpointIndex index, TimePoint now) const {
  const EndpointRecord& record = roster_.records()[index];
  const double reported =
      AreReporting()
          ? measures_[index].Calls(prior_, record.slots, options_.memory, now)
          : 0;
  return std::max<double>(reported, record.estimate.own_in_flight());
}

MeasuredCandidate MeasuredEndpoints::Evaluate(EndpointIndex index,
                                              TimePoint now) const {
  const EndpointRecord& record = roster_.records()[index];
  MeasuredCandidate it;
  it.index = index;
  it.slots = record.slots;
  it.calls = CallsAt(index, now);
  it.is_fresh = IsFresh(index, now) || !AreReporting();
  it.pace = PaceOf(index, now);
  const double queued = std::max(0.0, it.calls + 1 - record.slots);
  const double slowdown = profile_.Slowdown(it.FillAfterSend());
  const double work = it.pace * slowdown * (1 + queued / record.slots);
  it.finish = Scaled(profile_.usual(), work);
  // An endpoint that fails or refuses more than the others is ranked lower, but
  // the calls that it accepts do not take longer.
  const double failure_factor = 1 + record.penalty;
  it.cost = Scaled(it.finish, failure_factor) +
            Scaled(profile_.usual(), preference_.Cost(index));
  it.is_good = it.is_fresh && queued == 0 &&
               it.pace * slowdown * failure_factor <= options_.good_pace;
  return it;
}

std::optional<MeasuredCandidate> MeasuredEndpoints::Best(
    const WaitingCall& call,
    CandidateSet candidates,
    TimePoint now,
    Random& random) {
  roster_.Advance(now);
  std::optional<MeasuredCandidate> best;
  const auto usable = roster_.usable();
  if (usable.empty()) {
    return best;
  }
  // The random start makes hosts with the same reports choose different
  // endpoints.
  std::size_t at =
      UniformBelow(random, static_cast<std::uint32_t>(usable.size()));
  for (std::size_t n = 0; n < usable.size(); ++n) {
    const EndpointIndex index = usable[at];
    at = at + 1 == usable.size() ? 0 : at + 1;
    if (!IsEligible(call, index)) {
      continue;
    }
    MeasuredCandidate it = Evaluate(index, now);
    if ((candidates == CandidateSet::kFresh && !it.is_fresh) ||
        !CanAcceptCall(it, now)) {
      continue;
    }
    if (IsLimitedAndFree(it)) {
      it.is_good = true;
      return it;
    }
    const bool is_better =
        !best || (it.is_good && !best->is_good) ||
        (it.is_good == best->is_good && it.cost < best->cost);
    if (is_better) {
      best = it;
    }
  }
  return best;
}

bool MeasuredEndpoints::IsReliable(EndpointIndex index, TimePoint now) const {
  const EndpointRecord& record = roster_.records()[index];
  return record.state == EndpointState::kServing &&
         record.penalty <= kReliablePenalty &&
         !measures_[index].FailedSince(now - kProbeFailureHoldTime);
}

std::vector<MeasuredCandidate> MeasuredEndpoints::FreshCandidates(
    const WaitingCall& call,
    TimePoint now) const {
  std::vector<MeasuredCandidate> list;
  for (const EndpointIndex index : usable()) {
    if (!IsFresh(index, now) || !IsReliable(index, now) ||
        !IsEligible(call, index)) {
      continue;
    }
    const MeasuredCandidate it = Evaluate(index, now);
    if (CanAcceptCall(it, now)) {
      list.push_back(it);
    }
  }
  return list;
}

MeasuredCandidate MeasuredEndpoints::EvaluateForProbe(EndpointIndex index,
                                                      TimePoint now) const {
  MeasuredCandidate it = Evaluate(index, now);
  const bool has_joined =
      roster_.records()[index].state != EndpointState::kServing;
  const bool was_measured = measures_[index].ReportAge(now) >= Duration::zero();
  const bool is_warm = !cold_.IsSlow(index, now);
  if (has_joined && is_warm && preference_.IsFirst(index) && !was_measured) {
    it.cost = Scaled(it.cost, kNewEndpointCostFactor);
  }
  return it;
}

void MeasuredEndpoints::OnSend(CallToken token,
                               const MeasuredCandidate& to,
                               TimePoint now) {
  SentCall& sent = sent_[token];
  sent = {to.FillAfterSend(), to.pace, to.is_fresh, false, std::nullopt};
  if (cold_.IsSlow(to.index, now)) {
    sent.warm_time = Scaled(to.finish, 1 / cold_slowdown_.value());
  }
  cold_.OnSend(to.index, now);
  limits_.OnSend(to.index, now);
  roster_.record(to.index).estimate.OnSend();
  measures_[to.index].OnSend();
}

AnswerObservation MeasuredEndpoints::OnSendEnd(const SendEnd& end,
                                               TimePoint now) {
  roster_.record(end.endpoint).estimate.OnEnd();
  if (end.report) {
    OnReport(end.endpoint, *end.report, now);
  } else if (end.result == SendResult::kAnswered) {
    ++answers_without_report_;
    measures_[end.endpoint].OnAnswerUnreported();
  }
  // The relative time is left at 1: reports already show slow endpoints, and a
  // comparison between endpoints would eject those that are slow for half a
  // second.
  roster_.OnSendEnd(end.endpoint, end.result, 1, now);
  if (const auto sent = sent_.extract(end.token)) {
    return Learn(end, sent.mapped());
  }
  return {};
}

void MeasuredEndpoints::OnSlowSend(CallToken token) {
  const auto it = sent_.find(token);
  if (it != sent_.end()) {
    it->second.was_slow = true;
  }
}

AnswerObservation MeasuredEndpoints::Learn(const SendEnd& end,
                                           const SentCall& sent) {
  if (sent.warm_time) {
    if (end.result == SendResult::kAnswered && sent.is_fresh) {
      cold_slowdown_.OnExecution(end.took, *sent.warm_time);
    }
    return {};
  }
  const bool was_slow = sent.pace > options_.good_pace ||
                        (end.report && end.report->pace > options_.good_pace);
  if (end.result != SendResult::kAnswered || !sent.is_fresh || was_slow) {
    return {};
  }
  AnswerObservation observation;
  observation.has_usual_pace = !sent.was_slow;
  const Duration expected =
      Scaled(profile_.usual(), profile_.Slowdown(sent.fill));
  profile_.OnExecution(sent.fill, end.took);
  if (sent.fill <= 1 && expected > Duration::zero()) {
    observation.relative_time = Ratio(end.took, expected);
  }
  return observation;
}

std::optional<double> MeasuredEndpoints::PaceSince(EndpointIndex index,
                                                   Duration age,
                                                   TimePoint now) const {
  const EndpointMeasure& measure = measures_[index];
  const Duration asked_age = measure.AskedAge(now);
  if (asked_age < Duration::zero() || asked_age > age ||
      asked_age > options_.memory / 2) {
    return std::nullopt;
  }
  return measure.reported_pace();
}

void MeasuredEndpoints::OnReport(EndpointIndex endpoint,
                                 const EndpointReport& report,
                                 TimePoint now) {
  ++reports_;
  measures_[endpoint].OnReport(report, now);
  if (report.cold_for) {
    cold_.OnColdTime(endpoint, *report.cold_for, now - report.asked_before,
                     now);
  }
  EndpointRecord& record = roster_.record(endpoint);
  const double load = (report.in_flight + report.queued) / record.slots;
  prior_.pace += (report.pace - prior_.pace) * kSampleWeight;
  prior_.load += (load - prior_.load) * kSampleWeight;
  roster_.OnReportedMode(endpoint, report.mode, now);
}

void MeasuredEndpoints::OnProbe(EndpointIndex endpoint, TimePoint now) {
  measures_[endpoint].OnProbe(now);
}

void MeasuredEndpoints::OnProbeFailed(EndpointIndex endpoint,
                                      SendResult result,
                                      TimePoint now) {
  // An endpoint that answers without a report serves. It may be one that never
  // reports its load.
  if (result == SendResult::kAnswered) {
    ++answers_without_report_;
    measures_[endpoint].OnProbeUnreported(now);
    return;
  }
  measures_[endpoint].OnProbeFailed(now);
  if (result == SendResult::kMisdirected) {
    roster_.OnMisdirected(endpoint, now);
  }
}

void MeasuredEndpoints::OnPeerRateLimit(const EndpointProcess& endpoint,
                                        std::optional<double> rate_limit,
                                        TimePoint stated_at) {
  const auto known = listed_.find(endpoint.id);
  if (known != listed_.end() &&
      specs_[known->second].started_at == endpoint.started_at) {
    limits_.OnPeerLimit(known->second, rate_limit, stated_at);
  }
}

void MeasuredEndpoints::OnPeerDrain(const EndpointId& id, TimePoint now) {
  const auto known = listed_.find(id);
  if (known != listed_.end()) {
    roster_.OnReportedMode(known->second, EndpointMode::kDraining, now);
  }
}

std::optional<EndpointIndex> MeasuredEndpoints::Find(
    const EndpointId& id) const {
  const auto it = listed_.find(id);
  return it == listed_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<EndpointChange> MeasuredEndpoints::TakeChanges() {
  return roster_.TakeChanges(specs_);
}

std::vector<EndpointStatus> MeasuredEndpoints::Status(TimePoint now) const {
  std::vector<EndpointStatus> list;
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    const EndpointRecord& record = roster_.records()[n];
    if (!record.listed) {
      continue;
    }
    EndpointStatus endpoint;
    endpoint.id = specs_[n].id;
    endpoint.zone = specs_[n].zone;
    endpoint.state = std::string(ChartName(record.state));
    endpoint.reason = std::string(record.reason);
    endpoint.own_in_flight = record.estimate.own_in_flight();
    endpoint.estimated_in_flight = Evaluate(n, now).calls;
    endpoint.slots = static_cast<std::int32_t>(record.slots);
    endpoint.report_age = measures_[n].ReportAge(now);
    endpoint.rate_limit = limits_.rate_limit(n);
    list.push_back(std::move(endpoint));
  }
  return list;
}

}  // namespace damasktack
