#include "fleet/request_quarantine.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <sstream>
#include <utility>

namespace damasktack {

namespace {

// Sightings in one report, and news that wait to be taken.
constexpr std::size_t kMostSightings = 1024;

Duration AgeOf(TimePoint at, TimePoint now) {
  return std::max<Duration>(now - at, Duration::zero());
}

}  // namespace

CrashReport MakeCrashReport(const CrashUpdates& news, TimePoint now) {
  CrashReport report;
  for (const CrashObservation& it : news.sightings) {
    report.sightings.push_back({it.request, it.endpoint, AgeOf(it.at, now)});
  }
  for (const CrashUpdates::Cleared& it : news.cleared) {
    report.cleared.push_back({it.request.request, AgeOf(it.request.at, now)});
  }
  return report;
}

RequestQuarantine::RequestQuarantine(CrashTrackerOptions options)
    : ledger_(options, std::random_device()()) {}

RequestJudgement RequestQuarantine::Judge(RequestFingerprint request,
                                          TimePoint now) {
  const std::lock_guard lock(mutex_);
  const RequestJudgement judgement = ledger_.Judge(request, now);
  UpdateHasSuspects();
  refused_ += judgement.suspicion == Suspicion::kQuarantined ? 1 : 0;
  return judgement;
}

bool RequestQuarantine::OnBroken(const CrashObservation& sighting) {
  SuspectStep step = SuspectStep::kNone;
  {
    const std::lock_guard lock(mutex_);
    step = ledger_.Suspect(sighting);
    if (step == SuspectStep::kCheck && !checks_.Take(sighting.at)) {
      ledger_.Dismiss(sighting.endpoint);
      step = SuspectStep::kNone;
    }
    if (step == SuspectStep::kShare) {
      RecordUpdate(sighting);
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
    const std::vector<CrashObservation> confirmed = ledger_.Confirm(endpoint);
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
  ledger_.Dismiss(endpoint);
  UpdateHasSuspects();
}

void RequestQuarantine::OnAnswered(RequestFingerprint request, TimePoint now) {
  {
    const std::lock_guard lock(mutex_);
    const ClearedRequest cleared{request, now};
    const std::size_t crashes = ledger_.Clear(cleared, now);
    UpdateHasSuspects();
    if (crashes == 0) {
      return;
    }
    if (news_.cleared.size() < kMostSightings) {
      news_.cleared.push_back({cleared, crashes});
    }
    spdlog::info("event=request-cleared request={} crashes={}",
                 ToString(request), crashes);
  }
  NotifyUpdates();
}

// A host without peers has nobody who takes the news.
void RequestQuarantine::RecordUpdate(const CrashObservation& sighting) {
  if (news_.sightings.size() < kMostSightings) {
    news_.sightings.push_back(sighting);
  }
  LogWhereQuarantined(sighting);
}

void RequestQuarantine::LogWhereQuarantined(
    const CrashObservation& sighting) const {
  if (ledger_.IsCulprit(sighting.request)) {
    spdlog::warn("event=request-quarantined request={} crashes={} endpoint={}",
                 ToString(sighting.request),
                 ledger_.CountCrashes(sighting.request),
                 sighting.endpoint.id.text());
  }
}

void RequestQuarantine::SetOnUpdates(std::function<void()> on_news) {
  const std::lock_guard lock(mutex_);
  on_news_ = std::move(on_news);
}

void RequestQuarantine::NotifyUpdates() {
  std::function<void()> on_news;
  {
    const std::lock_guard lock(mutex_);
    on_news = on_news_;
  }
  if (on_news) {
    on_news();
  }
}

CrashUpdates RequestQuarantine::TakeUpdates() {
  const std::lock_guard lock(mutex_);
  return std::exchange(news_, {});
}

CrashUpdates RequestQuarantine::Take(const CrashReport& report, TimePoint now) {
  CrashUpdates news;
  const std::lock_guard lock(mutex_);
  for (const CrashReport::Sighting& it : report.sightings) {
    const CrashObservation sighting{it.request, it.endpoint, now - it.age};
    if (ledger_.Add(sighting, now)) {
      news.sightings.push_back(sighting);
      LogWhereQuarantined(sighting);
    }
  }
  for (const CrashReport::Cleared& it : report.cleared) {
    const ClearedRequest cleared{it.request, now - it.age};
    const std::size_t crashes = ledger_.Clear(cleared, now);
    if (crashes > 0) {
      news.cleared.push_back({cleared, crashes});
    }
  }
  UpdateHasSuspects();
  return news;
}

CrashReport RequestQuarantine::Evidence(std::size_t least,
                                        TimePoint now) const {
  const std::lock_guard lock(mutex_);
  CrashUpdates all;
  for (const RequestFingerprint request : ledger_.Suspects(least)) {
    const std::vector<CrashObservation> sightings =
        ledger_.ObservationsOf(request);
    if (all.sightings.size() + sightings.size() > kMostSightings) {
      break;
    }
    std::ranges::copy(sightings, std::back_inserter(all.sightings));
  }
  return MakeCrashReport(all, now);
}

std::vector<CrashObservation> RequestQuarantine::ObservationsOf(
    RequestFingerprint request) const {
  const std::lock_guard lock(mutex_);
  return ledger_.ObservationsOf(request);
}

std::string RequestQuarantine::RenderMetrics() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  out << "# TYPE damasktack_endpoints_ended_total counter\n"
      << "damasktack_endpoints_ended_total " << endpoints_ended_ << "\n"
      << "# TYPE damasktack_quarantine_refusals_total counter\n"
      << "damasktack_quarantine_refusals_total " << refused_ << "\n"
      << "# TYPE damasktack_crashes_remembered gauge\n"
      << "damasktack_crashes_remembered " << ledger_.crashes() << "\n";
  return out.str();
}

}  // namespace damasktack
