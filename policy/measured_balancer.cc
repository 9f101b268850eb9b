#include "policy/measured_balancer.h"

#include <algorithm>
#include <string>
#include <utility>

#include "policy/scaled_time.h"
#include "policy/slow_start.h"

namespace damasktack {

namespace {

// Weight of one more report or answer in what is usual.
constexpr double kSampleWeight = 1.0 / 16;
// Part of the time left that an execution is taken for, before the first
// answer tells.
constexpr int kFirstGuess = 3;
// An endpoint that has just started works up to twice as long. After its first
// call, which warms it, a host prefers others that are as free.
constexpr double kColdCost = 1.35;
// Endpoints that are listed this soon after the first belong to it: where
// everything starts at once they are published one by one, and none of them is
// to be looked at before the others.
constexpr Duration kSettling = std::chrono::seconds(5);
// One that has joined and was never measured is looked at before others: left
// out of the first look it would get no calls while the others suffice. Only by
// hosts that will turn to it later: 124 hosts that each looked at 20 that had
// joined opened 2,500 connections for it.
constexpr double kNewLook = 0.3;
// One on trial is for calls that find nothing better.
constexpr double kTrialCost = 2;
// A probe that failed within this makes an endpoint the last choice.
constexpr Duration kProbeFailureHolds = std::chrono::milliseconds(800);
constexpr double kProbeFailureCost = 8;
// Answers without a report after which an endpoint's service is taken to have
// none.
constexpr std::uint64_t kSilentAnswers = 8;
// Bounds of Retry-After, and what is added at random so that callers that were
// refused together do not come back together.
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(15);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(1);
constexpr Duration kSpreadRetryAfter = std::chrono::milliseconds(30);

bool HasHadCalls(const EndpointRecord& record) {
  return record.estimate.own_in_flight() > 0 || record.health.ever_ended();
}

}  // namespace

MeasuredBalancer::MeasuredBalancer(MeasuredBalancerOptions options,
                                   std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      preference_(options_.preference),
      queue_(options_.admission),
      retries_(options_.retries),
      probe_budget_(0, options_.probe_burst) {}

void MeasuredBalancer::SetService(const ServiceSpec& service,
                                  std::int64_t hosts,
                                  TimePoint now) {
  ShareProbes(service.endpoints.size(), hosts, now);
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    const bool is_listed = std::ranges::any_of(
        service.endpoints,
        [&](const EndpointSpec& it) { return it.IsSameProcess(specs_[n]); });
    if (!is_listed) {
      roster_.OnUnlisted(n, now);
    }
  }
  if (!first_list_at_ && !service.endpoints.empty()) {
    first_list_at_ = now;
  }
  const bool as_warm = first_list_at_ && now - *first_list_at_ < kSettling;
  for (const EndpointSpec& spec : service.endpoints) {
    std::optional<EndpointIndex> index = Find(spec);
    if (!index) {
      const bool has_restarted =
          std::ranges::find(specs_, spec.id, &EndpointSpec::id) != specs_.end();
      index = roster_.Add(as_warm && !has_restarted, now);
      const std::size_t size = std::max<std::size_t>(specs_.size(), *index + 1);
      specs_.resize(size);
      measures_.resize(size);
      measures_[*index] = EndpointMeasure();
    }
    specs_[*index] = spec;
    EndpointRecord& record = roster_.record(*index);
    record.slots = static_cast<double>(std::max<std::int64_t>(spec.slots, 1));
    record.other_zone = spec.zone != options_.zone;
    roster_.OnListed(*index, spec.state, now);
  }
  roster_.Recount();
  DrawPreference();
}

void MeasuredBalancer::ShareProbes(std::size_t endpoints,
                                   std::int64_t hosts,
                                   TimePoint now) {
  const double rate = options_.probe_limit * options_.probe_part *
                      static_cast<double>(endpoints) /
                      static_cast<double>(std::max<std::int64_t>(hosts, 1));
  const std::chrono::duration<double> saving = options_.probe_saving;
  probe_budget_.SetBounds(
      rate, std::max(options_.probe_burst, rate * saving.count()), now);
}

void MeasuredBalancer::DrawPreference() {
  std::vector<EndpointPreference::Choice> choices;
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    const EndpointRecord& record = roster_.records()[n];
    if (record.listed && !record.listed_as_leaving) {
      choices.push_back({n, specs_[n].id, record.other_zone});
    }
  }
  preference_.Draw(options_.host, choices, specs_.size());
}

std::optional<EndpointIndex> MeasuredBalancer::Find(
    const EndpointSpec& spec) const {
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    if (roster_.records()[n].listed && specs_[n].IsSameProcess(spec)) {
      return n;
    }
  }
  return std::nullopt;
}

bool MeasuredBalancer::MayMeasure() const {
  return reports_ > 0 || silent_answers_ < kSilentAnswers;
}

MeasuredBalancer::Candidate MeasuredBalancer::Weigh(EndpointIndex index,
                                                    TimePoint now) const {
  const EndpointRecord& record = roster_.records()[index];
  const EndpointMeasure& measure = measures_[index];
  Candidate it;
  it.index = index;
  it.slots = record.slots;
  it.calls = MayMeasure()
                 ? measure.Calls(prior_, record.slots, options_.memory, now)
                 : 0;
  it.calls = std::max<double>(it.calls, record.estimate.own_in_flight());
  it.is_fresh = measure.IsFresh(now, options_.fresh) || !MayMeasure();
  double pace = measure.Pace(prior_, options_.memory, now);
  if (record.state == EndpointState::kTrial) {
    pace *= kTrialCost;
  } else if (record.state != EndpointState::kServing && HasHadCalls(record)) {
    pace *= kColdCost;
  }
  if (measure.FailedSince(now - kProbeFailureHolds)) {
    pace *= kProbeFailureCost;
  }
  it.pace = pace;
  const double queued = std::max(0.0, it.calls + 1 - record.slots);
  const double slowdown = profile_.Slowdown(it.FillWithOne());
  const double work = pace * slowdown * (1 + queued / record.slots);
  it.finish = Scaled(profile_.usual(), work);
  // One that fails or refuses more than the others comes after them; what it
  // does take ends no later for that.
  const double disfavour = 1 + record.penalty;
  it.cost = Scaled(it.finish, disfavour);
  it.cost += Scaled(profile_.usual(), preference_.Cost(index));
  it.is_good = it.is_fresh && queued == 0 &&
               pace * slowdown * disfavour <= options_.good_pace;
  return it;
}

std::optional<MeasuredBalancer::Candidate>
MeasuredBalancer::Best(const WaitingCall& call, Among among, TimePoint now) {
  roster_.Advance(now);
  std::optional<Candidate> best;
  const auto usable = roster_.usable();
  if (usable.empty()) {
    return best;
  }
  // From a random start, so that hosts with the same reports choose apart.
  std::size_t at =
      UniformBelow(random_, static_cast<std::uint32_t>(usable.size()));
  for (std::size_t n = 0; n < usable.size(); ++n) {
    const EndpointIndex index = usable[at];
    at = at + 1 == usable.size() ? 0 : at + 1;
    if (usable.size() > 1 && call.avoid == index) {
      continue;
    }
    const Candidate it = Weigh(index, now);
    if (among == Among::kFresh && !it.is_fresh) {
      continue;
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

std::optional<MeasuredBalancer::Candidate> MeasuredBalancer::SettleFor(
    const WaitingCall& call,
    TimePoint now) {
  if (CountFresh(now) < options_.enough) {
    return std::nullopt;
  }
  const std::optional<Candidate> best = Best(call, Among::kFresh, now);
  return best && IsOnTime(call, *best, now) ? best : std::nullopt;
}

bool MeasuredBalancer::AwaitsProbes(TimePoint now) const {
  if (!wanted_probes_.empty()) {
    return true;
  }
  const Duration patience = ProbePatience(now);
  return std::ranges::any_of(roster_.usable(), [&](EndpointIndex it) {
    return measures_[it].IsPending(now, patience);
  });
}

std::size_t MeasuredBalancer::CountFresh(TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(roster_.usable(), [&](EndpointIndex it) {
        return measures_[it].IsFresh(now, options_.fresh);
      }));
}

// A host that had just started, or was slow, had 30 endpoints of all zones
// probed for one call, 8 ms after each other, while the answers to the first
// ones stood unread.
Duration MeasuredBalancer::ProbePatience(TimePoint now) const {
  const auto overdue =
      std::ranges::count_if(roster_.usable(), [&](EndpointIndex it) {
        return measures_[it].HasProbe() &&
               !measures_[it].IsPending(now, options_.probe_patience);
      });
  const auto looks =
      overdue / static_cast<std::ptrdiff_t>(
                    std::max<std::size_t>(options_.first_probes, 1));
  return std::min<Duration>(options_.probe_patience * (1 + looks),
                            options_.most_patience);
}

bool MeasuredBalancer::Measure(TimePoint now) {
  if (!MayMeasure()) {
    return false;
  }
  std::vector<Candidate> unknown;
  bool is_first_look = true;
  for (const EndpointIndex it : roster_.usable()) {
    if (measures_[it].IsFresh(now, options_.fresh)) {
      is_first_look = false;
    } else if (!measures_[it].HasProbe() &&
               !measures_[it].FailedSince(now - options_.fresh)) {
      unknown.push_back(Weigh(it, now));
      const bool has_joined =
          roster_.records()[it].state != EndpointState::kServing;
      if (has_joined && preference_.IsFirst(it) &&
          measures_[it].ReportAge(now) < Duration::zero()) {
        unknown.back().cost = Scaled(unknown.back().cost, kNewLook);
      }
    }
  }
  const std::size_t most =
      std::min(unknown.size(),
               is_first_look ? options_.first_probes : options_.further_probes);
  std::ranges::shuffle(unknown, random_);
  std::ranges::partial_sort(unknown,
                            unknown.begin() + static_cast<std::ptrdiff_t>(most),
                            {}, &Candidate::cost);
  bool any = false;
  for (std::size_t n = 0; n < most; ++n) {
    if (!probe_budget_.Take(now)) {
      ++probes_withheld_;
      break;
    }
    measures_[unknown[n].index].OnProbe(now);
    wanted_probes_.push_back(unknown[n].index);
    any = true;
  }
  return any;
}

bool MeasuredBalancer::IsOnTime(const WaitingCall& call,
                                const Candidate& best,
                                TimePoint now) const {
  return now + Scaled(best.finish, options_.on_time_margin) <=
         call.offer.on_time_until;
}

// The call has been held for as long as it may be; it goes to a place that is
// free, if it ends before its deadline there, though late.
bool MeasuredBalancer::IsLastChance(const WaitingCall& call,
                                    const Candidate& best,
                                    TimePoint now) const {
  return best.calls + 1 <= best.slots &&
         now + best.finish < call.offer.deadline;
}

MeasuredBalancer::Decision MeasuredBalancer::Decide(const WaitingCall& call,
                                                    TimePoint now) {
  const std::optional<Candidate> best = Best(call, Among::kAll, now);
  if (!best) {
    const bool given_up = unusable_since_ && now - *unusable_since_ >=
                                                 options_.no_endpoint_patience;
    return {given_up ? Step::kRefuse : Step::kWait, best};
  }
  if (best->is_good) {
    return {Step::kSend, best};
  }
  if (const std::optional<Candidate> settled = SettleFor(call, now)) {
    return {Step::kSend, settled};
  }
  if (AwaitsProbes(now) || Measure(now)) {
    return {Step::kWait, best};
  }
  if (IsOnTime(call, *best, now)) {
    return {Step::kSend, best};
  }
  const CallOffer& offer = call.offer;
  const Duration held_most =
      Scaled(offer.on_time_until - offer.arrival, options_.held_part);
  if (now - offer.arrival < held_most) {
    return {Step::kWait, best};
  }
  const bool is_last_chance = IsLastChance(call, *best, now);
  return {is_last_chance ? Step::kSend : Step::kRefuse, best};
}

void MeasuredBalancer::Offer(const CallOffer& offer,
                             TimePoint now,
                             Decisions& out) {
  Admit(WaitingCall{offer, std::nullopt}, now, out);
}

void MeasuredBalancer::Admit(WaitingCall call, TimePoint now, Decisions& out) {
  if (!profile_.is_known()) {
    profile_.Guess((call.offer.on_time_until - call.offer.arrival) /
                   kFirstGuess);
  }
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
  WatchUsable(now);
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
      const CallOffer offer = head.offer;
      queue_.Remove(offer.token);
      out.rejections.push_back(
          {offer.token, best ? Refusal::kShed : Refusal::kNoEndpoint,
           RetryAfter(offer, best, now), BasisOf(best, now)});
      return true;
    }
  }
  return false;
}

Duration MeasuredBalancer::RetryAfter(const CallOffer& offer,
                                      const std::optional<Candidate>& best,
                                      TimePoint now) {
  Duration wait = kShortestRetryAfter;
  if (best) {
    wait = std::max(wait, now + best->finish - offer.on_time_until);
  }
  const double spread = UniformBelow(random_, 1000) / 1000.0;
  return std::min(wait, kLongestRetryAfter) + Scaled(kSpreadRetryAfter, spread);
}

DecisionBasis MeasuredBalancer::BasisOf(const std::optional<Candidate>& best,
                                        TimePoint now) const {
  if (!best) {
    return {};
  }
  return {best->finish, measures_[best->index].ReportAge(now)};
}

void MeasuredBalancer::Send(const WaitingCall& call,
                            const Candidate& best,
                            TimePoint now,
                            Decisions& out) {
  out.dispatches.push_back({call.offer.token, best.index, BasisOf(best, now)});
  sent_[call.offer.token] = {best.FillWithOne(), best.pace, best.is_fresh};
  roster_.record(best.index).estimate.OnSend();
  measures_[best.index].OnSend();
  if (!call.avoid) {
    retries_.OnFirstSend(call.offer.customer, call.offer.retry_percent, now);
  }
}

std::vector<EndpointChange> MeasuredBalancer::TakeChanges() {
  return roster_.TakeChanges(specs_);
}

AfterSend MeasuredBalancer::Finish(const CallOffer& offer,
                                   const SendEnd& end,
                                   TimePoint now,
                                   Decisions& out) {
  roster_.record(end.endpoint).estimate.OnEnd();
  if (end.report) {
    OnReport(end.endpoint, *end.report, now);
  } else if (end.result == SendResult::kAnswered) {
    ++silent_answers_;
  }
  // Slowness shows in the reports; compared between endpoints it would only
  // eject whoever is slow for half a second.
  roster_.OnSendEnd(end.endpoint, end.result, 1, now);
  if (const auto sent = sent_.extract(end.token)) {
    Learn(end, sent.mapped());
  }
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
  return RetryAfter(offer, Best(call, Among::kAll, now), now);
}

void MeasuredBalancer::Learn(const SendEnd& end, const SentCall& sent) {
  const bool was_slow = sent.pace > options_.good_pace ||
                        (end.report && end.report->pace > options_.good_pace);
  if (end.result == SendResult::kAnswered && sent.is_fresh && !was_slow) {
    profile_.OnExecution(sent.fill, end.took);
  }
}

bool MeasuredBalancer::MayRetry(const CallOffer& offer,
                                const SendEnd& end,
                                TimePoint now) {
  if (!MaySendAgain(end.result, offer.idempotent) || end.retried_deeper ||
      offer.is_repeat) {
    return false;
  }
  const int most_sends = offer.most_sends > 0
                             ? std::min(offer.most_sends, options_.most_sends)
                             : options_.most_sends;
  if (end.sends >= most_sends || now + profile_.usual() >= offer.deadline) {
    return false;
  }
  if (retries_.IsFutile(end.result) ||
      !retries_.TrySpend(offer.customer, offer.retry_percent, now)) {
    ++retries_withheld_;
    return false;
  }
  ++retries_granted_;
  return true;
}

void MeasuredBalancer::OnReport(EndpointIndex endpoint,
                                const EndpointReport& report,
                                TimePoint now) {
  ++reports_;
  measures_[endpoint].OnReport(report, now);
  EndpointRecord& record = roster_.record(endpoint);
  const double load = (report.in_flight + report.queued) / record.slots;
  prior_.pace += (report.pace - prior_.pace) * kSampleWeight;
  prior_.load += (load - prior_.load) * kSampleWeight;
  roster_.OnReportedMode(endpoint, report.mode, now);
}

void MeasuredBalancer::Report(EndpointIndex endpoint,
                              const EndpointReport& report,
                              TimePoint now,
                              Decisions& out) {
  OnReport(endpoint, report, now);
  Pump(now, out);
}

void MeasuredBalancer::ProbeFailed(EndpointIndex endpoint,
                                   TimePoint now,
                                   Decisions& out) {
  measures_[endpoint].OnProbeFailed(now);
  Pump(now, out);
}

void MeasuredBalancer::HearDrain(const EndpointId& id, TimePoint now) {
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    if (specs_[n].id == id && roster_.record(n).listed) {
      roster_.OnReportedMode(n, EndpointMode::kDraining, now);
    }
  }
}

void MeasuredBalancer::Tick(TimePoint now, Decisions& out) {
  Pump(now, out);
}

std::optional<EndpointIndex> MeasuredBalancer::NextProbe(TimePoint /*now*/) {
  if (wanted_probes_.empty()) {
    return std::nullopt;
  }
  const EndpointIndex next = wanted_probes_.front();
  wanted_probes_.erase(wanted_probes_.begin());
  ++probes_sent_;
  return next;
}

void MeasuredBalancer::WatchUsable(TimePoint now) {
  roster_.Advance(now);
  if (!roster_.usable().empty()) {
    unusable_since_.reset();
  } else if (!unusable_since_) {
    unusable_since_ = now;
  }
}

BalancerStatus MeasuredBalancer::Status(TimePoint now) const {
  BalancerStatus status;
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    const EndpointRecord& record = roster_.records()[n];
    if (!record.listed) {
      continue;
    }
    const Candidate candidate = Weigh(n, now);
    EndpointStatus endpoint;
    endpoint.id = specs_[n].id;
    endpoint.zone = specs_[n].zone;
    endpoint.state = std::string(ChartName(record.state));
    endpoint.reason = std::string(record.reason);
    endpoint.own_in_flight = record.estimate.own_in_flight();
    endpoint.estimated_in_flight = candidate.calls;
    endpoint.slots = static_cast<std::int32_t>(record.slots);
    endpoint.report_age = measures_[n].ReportAge(now);
    status.table.endpoints.push_back(std::move(endpoint));
  }
  status.table.probes_sent = probes_sent_;
  status.table.probes_withheld = probes_withheld_;
  status.table.probes_per_second = probe_budget_.rate();
  status.waiting = queue_.size();
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    status.waiting_by_urgency[n] = queue_.Waiting(static_cast<Urgency>(n));
  }
  status.retries_granted = retries_granted_;
  status.retries_withheld = retries_withheld_;
  return status;
}

}  // namespace damasktack
