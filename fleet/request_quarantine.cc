#include "fleet/request_quarantine.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <sstream>
#include <utility>

namespace damasktack {

namespace {

// Maximum number of observations in one report, and of updates waiting for
// TakeUpdates.
constexpr std::size_t kMaxObservations = 1024;

Duration AgeOf(TimePoint at, TimePoint now) {
  return std::max<Duration>(now - at, Duration::zero());
}

}  // namespace

CrashReport MakeCrashReport(const CrashUpdates& updates, TimePoint now) {
  CrashReport report;
  for (const CrashObservation& it : updates.observations) {
    report.observations.push_back({it.request, it.endpoint, AgeOf(it.at, now)});
  }
  for (const CrashUpdates::Cleared& it : updates.cleared) {
    report.cleared.push_back({it.request.request, AgeOf(it.request.at, now)});
  }
  return report;
}

RequestQuarantine::RequestQuarantine(CrashTrackerOptions options)
    : tracker_(options, std::random_device()()) {}

RequestJudgement RequestQuarantine::Judge(RequestFingerprint request,
                                          TimePoint now) {
  const std::lock_guard lock(mutex_);
  const RequestJudgement judgement = tracker_.Judge(request, now);
  UpdateHasSuspects();
  refused_ += judgement.suspicion == Suspicion::kQuarantined ? 1 : 0;
  return judgement;
}

bool RequestQuarantine::OnBroken(const CrashObservation& observation) {
  SuspectStep step = SuspectStep::kNone;
  {
    const std::lock_guard lock(mutex_);
    step = tracker_.Suspect(observation);
    if (step == SuspectStep::kCheck && !checks_.Take(observation.at)) {
      tracker_.Dismiss(observation.endpoint);
      step = SuspectStep::kNone;
    }
    if (step == SuspectStep::kShare) {
      RecordUpdate(observation);
    }
    UpdateHasSuspects();
  }
  if (step == SuspectStep::kShare) {
    NotifyUpdates();
  }
  return step == SuspectStep::kCheck;
}

void RequestQuarantine::OnEndpointEnded(const EndpointProcess& endpoint) {
  {
    const std::lock_guard lock(mutex_);
    const std::vector<CrashObservation> confirmed = tracker_.Confirm(endpoint);
    if (confirmed.empty()) {
      return;
    }
    ++endpoints_ended_;
    spdlog::info("event=endpoint-ended endpoint={} requests={}",
                 endpoint.id.text(), confirmed.size());
    for (const CrashObservation& it : confirmed) {
      RecordUpdate(it);
    }
  }
  NotifyUpdates();
}

void RequestQuarantine::OnEndpointAlive(const EndpointProcess& endpoint) {
  const std::lock_guard lock(mutex_);
  tracker_.Dismiss(endpoint);
  UpdateHasSuspects();
}

void RequestQuarantine::OnAnswered(RequestFingerprint request, TimePoint now) {
  {
    const std::lock_guard lock(mutex_);
    const ClearedRequest cleared{request, now};
    const std::size_t crashes = tracker_.Clear(cleared, now);
    UpdateHasSuspects();
    if (crashes == 0) {
      return;
    }
    if (updates_.cleared.size() < kMaxObservations) {
      updates_.cleared.push_back({cleared, crashes});
    }
    spdlog::info("event=request-cleared request={} crashes={}",
                 ToString(request), crashes);
  }
  NotifyUpdates();
}

// The size is bounded, as nothing takes the updates on a host without peers.
void RequestQuarantine::RecordUpdate(const CrashObservation& observation) {
  if (updates_.observations.size() < kMaxObservations) {
    updates_.observations.push_back(observation);
  }
  LogIfQuarantined(observation);
}

void RequestQuarantine::LogIfQuarantined(
    const CrashObservation& observation) const {
  if (tracker_.IsCulprit(observation.request)) {
    spdlog::warn("event=request-quarantined request={} crashes={} endpoint={}",
                 ToString(observation.request),
                 tracker_.CountCrashes(observation.request),
                 observation.endpoint.id.text());
  }
}

void RequestQuarantine::SetOnUpdates(std::function<void()> on_updates) {
  const std::lock_guard lock(mutex_);
  on_updates_ = std::move(on_updates);
}

void RequestQuarantine::NotifyUpdates() {
  std::function<void()> on_updates;
  {
    const std::lock_guard lock(mutex_);
    on_updates = on_updates_;
  }
  if (on_updates) {
    on_updates();
  }
}

CrashUpdates RequestQuarantine::TakeUpdates() {
  const std::lock_guard lock(mutex_);
  return std::exchange(updates_, {});
}

CrashUpdates RequestQuarantine::Take(const CrashReport& report, TimePoint now) {
  CrashUpdates updates;
  const std::lock_guard lock(mutex_);
  for (const CrashReport::Observation& it : report.observations) {
    const CrashObservation observation{it.request, it.endpoint, now - it.age};
    if (tracker_.Add(observation, now)) {
      updates.observations.push_back(observation);
      LogIfQuarantined(observation);
    }
  }
  for (const CrashReport::Cleared& it : report.cleared) {
    const ClearedRequest cleared{it.request, now - it.age};
    const std::size_t crashes = tracker_.Clear(cleared, now);
    if (crashes > 0) {
      updates.cleared.push_back({cleared, crashes});
    }
  }
  UpdateHasSuspects();
  return updates;
}

CrashReport RequestQuarantine::Evidence(std::size_t min_crashes,
                                        TimePoint now) const {
  const std::lock_guard lock(mutex_);
  CrashUpdates all;
  for (const RequestFingerprint request : tracker_.Suspects(min_crashes)) {
    const std::vector<CrashObservation> observations =
        tracker_.ObservationsOf(request);
    if (all.observations.size() + observations.size() > kMaxObservations) {
      break;
    }
    std::ranges::copy(observations, std::back_inserter(all.observations));
  }
  return MakeCrashReport(all, now);
}

std::vector<CrashObservation> RequestQuarantine::ObservationsOf(
    RequestFingerprint request) const {
  const std::lock_guard lock(mutex_);
  return tracker_.ObservationsOf(request);
}

std::string RequestQuarantine::RenderMetrics() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  out << "# TYPE damasktack_endpoints_ended_total counter\n"
      << "damasktack_endpoints_ended_total " << endpoints_ended_ << "\n"
      << "# TYPE damasktack_quarantine_refusals_total counter\n"
      << "damasktack_quarantine_refusals_total " << refused_ << "\n"
      << "# TYPE damasktack_crashes_remembered gauge\n"
      << "damasktack_crashes_remembered " << tracker_.crashes() << "\n";
  return out.str();
}

}  // namespace damasktack
