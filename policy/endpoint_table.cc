#include "policy/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "policy/probe_priority.h"
#include "policy/slow_start.h"

namespace damasktack {

namespace {

// Bytes of a probe and its answer on the wire, as counted in the status.
constexpr std::uint64_t kProbeBytes = 256;
// Upper bound: above it, a full near endpoint would be preferred to a free one
// in another zone.
constexpr double kMaxZoneCost = 1;
// Time without calls after which a service needs no fresh reports.
constexpr Duration kIdleTimeout = std::chrono::seconds(1);

}  // namespace

EndpointTable::EndpointTable(EndpointTableOptions options)
    : options_(std::move(options)),
      limits_(options_.host),
      picker_(MakePicker(options_.picker).value_or(ChosenPicker())) {}

void EndpointTable::SetService(const ServiceSpec& service,
                               std::int64_t hosts,
                               TimePoint now) {
  hosts_ = std::max<std::int64_t>(hosts, 1);
  budget_.SetRate(service.probes_per_second, hosts_, now);
  limits_.SetService(service.endpoints.size(), hosts, now);
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    const bool is_listed = std::ranges::any_of(
        service.endpoints,
        [&](const EndpointSpec& it) { return it.IsSameProcess(specs_[n]); });
    if (!is_listed) {
      roster_.OnUnlisted(n, now);
    }
  }
  const bool first_list = specs_.empty();
  for (const EndpointSpec& spec : service.endpoints) {
    ApplySpec(spec, first_list, now);
  }
  roster_.Recount();
}

std::optional<EndpointIndex> EndpointTable::Find(
    const EndpointSpec& spec) const {
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    if (roster_.records()[n].listed && specs_[n].IsSameProcess(spec)) {
      return n;
    }
  }
  return std::nullopt;
}

void EndpointTable::ApplySpec(const EndpointSpec& spec,
                              bool assume_warm,
                              TimePoint now) {
  std::optional<EndpointIndex> index = Find(spec);
  if (!index) {
    index = roster_.Add(assume_warm, now);
    specs_.resize(std::max<std::size_t>(specs_.size(), *index + 1));
    limits_.OnAdded(*index, spec.id);
  }
  specs_[*index] = spec;
  EndpointRecord& record = roster_.record(*index);
  record.slots = static_cast<double>(std::max<std::int64_t>(spec.slots, 1));
  record.other_zone = spec.zone != options_.zone;
  roster_.OnListed(*index, spec, now);
}

double EndpointTable::ZoneCost() const {
  const Duration typical = baseline_.TypicalTime();
  if (typical == Duration::zero()) {
    return 0;
  }
  const double cost =
      static_cast<double>((2 * options_.zone_distance).count()) /
      static_cast<double>(typical.count());
  return std::min(cost, kMaxZoneCost);
}

// Each endpoint counts once, however often it reports: a busy endpoint sends
// more answers, and so more reports, and would make the service look fuller
// than it is.
double EndpointTable::OthersPerSlot() const {
  double others = 0;
  double slots = 0;
  for (const EndpointIndex it : roster_.usable()) {
    const EndpointRecord& record = roster_.records()[it];
    if (record.estimate.has_report()) {
      others += record.estimate.others_reported();
      slots += record.slots;
    }
  }
  return slots > 0 ? others / slots : 0;
}

LoadPrior EndpointTable::Prior(TimePoint now) const {
  const OwnLoad own{own_in_flight_, roster_.usable_slots(), hosts_};
  return baseline_.Prior(own, now);
}

// Calls in transit count as in flight on this host but use no slot yet, so the
// share is enlarged by the transit time relative to an execution. It is rounded
// up for a call that may take the last slot: with fewer slots than hosts,
// shares rounded down would leave slots idle while calls wait.
bool EndpointTable::IsBelowFairShare(double max_load) const {
  const double part = (1 + ZoneCost()) * max_load * roster_.usable_slots() /
                      static_cast<double>(hosts_);
  const double whole = max_load >= 1 ? std::ceil(part) : std::floor(part);
  return own_in_flight_ + 1 <= std::max(whole, 1.0);
}

std::optional<EndpointIndex> EndpointTable::Pick(const PickRequest& request,
                                                 TimePoint now,
                                                 Random& random) {
  roster_.Advance(now);
  std::vector<EndpointIndex> buf;
  const auto open = AcceptingEndpoints(now, buf);
  if (open.empty()) {
    return std::nullopt;
  }
  const CandidateView::Choice choice{
      request.max_load, request.avoid, IsBelowFairShare(request.max_load),
      Prior(now),       ZoneCost(),    now};
  const CandidateView view(open, roster_.records(), choice);
  return std::visit(
      [&](EndpointPicker auto& picker) { return picker.Pick(view, random); },
      picker_);
}

std::span<const EndpointIndex> EndpointTable::AcceptingEndpoints(
    TimePoint now,
    std::vector<EndpointIndex>& buf) const {
  const auto usable = roster_.usable();
  const auto takes_one = [&](EndpointIndex it) { return AcceptsCall(it, now); };
  if (std::ranges::all_of(usable, takes_one)) {
    return usable;
  }
  std::ranges::copy_if(usable, std::back_inserter(buf), takes_one);
  return buf;
}

bool EndpointTable::HasFreeSlot(EndpointIndex endpoint, TimePoint now) const {
  const EndpointRecord& record = roster_.records()[endpoint];
  return record.estimate.Calls(Prior(now), record.slots, now) + 1 <=
         record.slots;
}

bool EndpointTable::AnyUsable(TimePoint now) const {
  return std::ranges::any_of(
      roster_.usable(), [&](EndpointIndex it) { return AcceptsCall(it, now); });
}

std::optional<TimePoint> EndpointTable::AvailableAt(TimePoint now,
                                                    TimePoint latest) const {
  return limits_.FirstAvailableAt(roster_.usable(), now, latest);
}

double EndpointTable::FreeSlots(TimePoint now) const {
  const OwnLoad own{own_in_flight_, roster_.usable_slots(), hosts_};
  const double taken = own_in_flight_ + baseline_.OthersPerSlot(own, now) *
                                            roster_.usable_slots();
  return std::max(roster_.usable_slots() - taken, 0.0);
}

double EndpointTable::UsableSlots(TimePoint /*now*/) const {
  return roster_.usable_slots();
}

Duration EndpointTable::TypicalServiceTime() const {
  return baseline_.TypicalTime();
}

void EndpointTable::OnSend(EndpointIndex endpoint, TimePoint now) {
  roster_.record(endpoint).estimate.OnSend();
  limits_.OnSend(endpoint, now);
  ++own_in_flight_;
  last_send_ = now;
}

void EndpointTable::OnEnd(EndpointIndex endpoint,
                          SendResult result,
                          Duration took,
                          TimePoint now) {
  EndpointRecord& record = roster_.record(endpoint);
  record.estimate.OnEnd();
  --own_in_flight_;
  if (result == SendResult::kAnswered) {
    baseline_.OnAnswer(took);
  }
  if (result == SendResult::kShed) {
    record.estimate.OnShed(record.slots, now);
  }
  roster_.OnSendEnd(endpoint, result, baseline_.RelativeTime(took), now);
}

void EndpointTable::OnReport(EndpointIndex endpoint,
                             const EndpointReport& report,
                             TimePoint now) {
  EndpointRecord& record = roster_.record(endpoint);
  record.probe_pending = false;
  record.probe_withheld = false;
  const std::int64_t listed = specs_[endpoint].slots;
  const double slots = static_cast<double>(std::clamp<std::int64_t>(
      report.slots, 1, std::max<std::int64_t>(listed, 1)));
  if (slots != record.slots) {
    record.slots = slots;
    roster_.Recount();
  }
  if (record.estimate.has_report()) {
    baseline_.OnNextReport({endpoint, report.in_flight + report.queued,
                            record.estimate.calls_reported(),
                            record.estimate.ReportAge(now)});
  }
  if (record.estimate.OnReport(report, now)) {
    baseline_.OnReport(OthersPerSlot(), now);
  }
  roster_.OnReportedMode(endpoint, report.mode, now);
}

void EndpointTable::OnPeerRateLimit(const EndpointProcess& endpoint,
                                    std::optional<double> rate_limit,
                                    TimePoint stated_at) {
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    const bool is_match = specs_[n].id == endpoint.id &&
                          specs_[n].started_at == endpoint.started_at;
    if (is_match && roster_.record(n).listed) {
      limits_.OnPeerLimit(n, rate_limit, stated_at);
    }
  }
}

void EndpointTable::OnPeerDrain(const EndpointId& id, TimePoint now) {
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    if (specs_[n].id == id && roster_.record(n).listed) {
      roster_.OnReportedMode(n, EndpointMode::kDraining, now);
    }
  }
}

std::optional<EndpointIndex> EndpointTable::NextProbe(TimePoint now) {
  roster_.Advance(now);
  const ProbeContext context{
      Prior(now).relaxation,
      own_in_flight_ > 0 || now - last_send_ < kIdleTimeout, now};
  const bool has_probe = budget_.HasProbe(now);
  std::optional<EndpointIndex> best_endpoint;
  double highest = 0;
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    EndpointRecord& record = roster_.record(n);
    const double priority =
        limits_.IsPaused(n, now) ? 0 : ProbePriority(record, context);
    if (priority > 0 && !has_probe && !record.probe_withheld) {
      record.probe_withheld = true;
      ++probes_withheld_;
    }
    if (priority > highest) {
      highest = priority;
      best_endpoint = n;
    }
  }
  if (!best_endpoint || !budget_.Take(now)) {
    return std::nullopt;
  }
  roster_.record(*best_endpoint).probe_pending = true;
  roster_.record(*best_endpoint).probe_sent_at = now;
  ++probes_sent_;
  return best_endpoint;
}

void EndpointTable::ProbeFailed(EndpointIndex endpoint,
                                SendResult result,
                                TimePoint now) {
  roster_.record(endpoint).probe_pending = false;
  if (result == SendResult::kMisdirected) {
    roster_.OnMisdirected(endpoint, now);
  }
}

const EndpointSpec& EndpointTable::endpoint(EndpointIndex index) const {
  return specs_[index];
}

std::optional<EndpointIndex> EndpointTable::Find(const EndpointId& id) const {
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    if (specs_[n].id == id && roster_.records()[n].listed) {
      return n;
    }
  }
  return std::nullopt;
}

EndpointStatus EndpointTable::StatusOf(EndpointIndex index,
                                       TimePoint now) const {
  const EndpointRecord& record = roster_.records()[index];
  const EndpointSpec& spec = specs_[index];
  EndpointStatus status;
  status.id = spec.id;
  status.zone = spec.zone;
  status.state = std::string(ChartName(record.state));
  status.reason = std::string(record.reason);
  status.own_in_flight = record.estimate.own_in_flight();
  status.estimated_in_flight =
      record.estimate.Calls(Prior(now), record.slots, now);
  status.slots = static_cast<std::int32_t>(record.slots);
  status.report_age = record.estimate.ReportAge(now);
  status.rate_limit = limits_.rate_limit(index);
  return status;
}

EndpointTableStatus EndpointTable::Status(TimePoint now) const {
  EndpointTableStatus status;
  for (EndpointIndex n = 0; n < specs_.size(); ++n) {
    if (roster_.records()[n].listed) {
      status.endpoints.push_back(StatusOf(n, now));
    }
  }
  status.probes_sent = probes_sent_;
  status.probe_bytes = probes_sent_ * kProbeBytes;
  status.probes_withheld = probes_withheld_;
  status.probes_per_second = budget_.probes_per_second();
  return status;
}

}  // namespace damasktack
