#include "policy/crash_tracker.h"

#include <algorithm>
#include <utility>

#include "policy/scaled_time.h"

namespace damasktack {

namespace {

// Number of recently cleared requests that are kept: an observation may arrive
// after the message that clears its request.
constexpr std::size_t kMaxCleared = 64;
// A trial without a result for this long is given to another call.
constexpr Duration kTrialTimeout = std::chrono::seconds(5);
constexpr std::uint32_t kFactorSteps = 1000;

}  // namespace

CrashTracker::CrashTracker(CrashTrackerOptions options, std::uint64_t seed)
    : options_(options) {
  Random random(seed);
  quarantine_factor_ =
      1 + 0.5 * UniformBelow(random, kFactorSteps) / kFactorSteps;
}

bool CrashTracker::Crash::Has(RequestFingerprint request) const {
  return std::ranges::find(suspects, request) != suspects.end();
}

void CrashTracker::AddSuspect(Crash& crash, RequestFingerprint request) {
  const bool has_room = crash.suspects.size() < options_.max_suspects;
  if (has_room && !crash.Has(request)) {
    crash.suspects.push_back(request);
    ++crashes_by_suspect_[request];
  }
}

bool CrashTracker::RemoveSuspect(Crash& crash, RequestFingerprint request) {
  if (std::erase(crash.suspects, request) == 0) {
    return false;
  }
  const auto it = crashes_by_suspect_.find(request);
  if (--it->second == 0) {
    crashes_by_suspect_.erase(it);
  }
  return true;
}

template <typename Predicate>
void CrashTracker::RemoveCrashes(Predicate is_removed) {
  for (Crash& crash : crashes_) {
    while (is_removed(crash) && !crash.suspects.empty()) {
      RemoveSuspect(crash, crash.suspects.back());
    }
  }
  std::erase_if(crashes_, is_removed);
}

CrashTracker::Crash* CrashTracker::Find(const EndpointProcess& endpoint,
                                        TimePoint at) {
  const auto it = std::ranges::find_if(crashes_, [&](const Crash& crash) {
    return crash.endpoint == endpoint &&
           std::chrono::abs(crash.at - at) < options_.same_crash;
  });
  return it == crashes_.end() ? nullptr : &*it;
}

std::size_t CrashTracker::CountUnconfirmed() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      crashes_, [](const Crash& it) { return !it.is_confirmed; }));
}

CrashTracker::Crash* CrashTracker::FindOrAdd(
    const CrashObservation& observation,
    bool is_confirmed) {
  Crash* crash = Find(observation.endpoint, observation.at);
  if (crash == nullptr) {
    if (!is_confirmed && CountUnconfirmed() >= options_.max_unconfirmed) {
      return nullptr;
    }
    if (crashes_.size() >= options_.max_crashes) {
      const Crash* oldest = &crashes_.front();
      RemoveCrashes([&](const Crash& it) { return &it == oldest; });
    }
    crashes_.push_back(
        {observation.endpoint, observation.at, is_confirmed, {}});
    crash = &crashes_.back();
  }
  AddSuspect(*crash, observation.request);
  return crash;
}

SuspectStep CrashTracker::Suspect(const CrashObservation& observation) {
  Forget(observation.at);
  const Crash* known = Find(observation.endpoint, observation.at);
  if (known == nullptr) {
    return FindOrAdd(observation, false) != nullptr ? SuspectStep::kCheck
                                                    : SuspectStep::kNone;
  }
  const bool is_news = known->is_confirmed && !known->Has(observation.request);
  FindOrAdd(observation, false);
  return is_news ? SuspectStep::kShare : SuspectStep::kNone;
}

std::vector<CrashObservation> CrashTracker::Confirm(
    const EndpointProcess& endpoint) {
  std::vector<CrashObservation> confirmed;
  for (Crash& crash : crashes_) {
    if (crash.is_confirmed || crash.endpoint != endpoint) {
      continue;
    }
    crash.is_confirmed = true;
    for (const RequestFingerprint it : crash.suspects) {
      confirmed.push_back({it, endpoint, crash.at});
    }
  }
  return confirmed;
}

void CrashTracker::Dismiss(const EndpointProcess& endpoint) {
  RemoveCrashes([&](const Crash& it) {
    return !it.is_confirmed && it.endpoint == endpoint;
  });
}

bool CrashTracker::IsClearedSince(const CrashObservation& observation) const {
  return std::ranges::any_of(cleared_, [&](const ClearedRequest& it) {
    return it.request == observation.request && it.at >= observation.at;
  });
}

bool CrashTracker::Add(const CrashObservation& observation, TimePoint now) {
  Forget(now);
  const bool is_old = now - observation.at >= options_.memory;
  if (is_old || IsClearedSince(observation)) {
    return false;
  }
  const Crash* known = Find(observation.endpoint, observation.at);
  if (known != nullptr && known->is_confirmed &&
      known->Has(observation.request)) {
    return false;
  }
  Crash* crash = FindOrAdd(observation, true);
  crash->is_confirmed = true;
  return crash->Has(observation.request);
}

std::size_t CrashTracker::Clear(const ClearedRequest& cleared, TimePoint now) {
  Forget(now);
  if (!IsSuspect(cleared.request)) {
    return 0;
  }
  last_trials_.erase(cleared.request);
  std::size_t confirmed = 0;
  for (Crash& it : crashes_) {
    if (it.at <= cleared.at && RemoveSuspect(it, cleared.request)) {
      confirmed += it.is_confirmed ? 1 : 0;
    }
  }
  if (confirmed == 0) {
    return 0;
  }
  RemoveCrashes(
      [](const Crash& it) { return it.is_confirmed && it.suspects.empty(); });
  if (cleared_.size() >= kMaxCleared) {
    cleared_.pop_front();
  }
  cleared_.push_back(cleared);
  return confirmed;
}

CrashTracker::Record CrashTracker::RecordOf(RequestFingerprint request) const {
  Record record;
  for (const Crash& it : crashes_) {
    if (it.is_confirmed && it.Has(request)) {
      ++record.crashes;
      record.last_crash = std::max(record.last_crash, it.at);
    }
  }
  return record;
}

std::size_t CrashTracker::CountCrashes(RequestFingerprint request) const {
  return RecordOf(request).crashes;
}

std::size_t CrashTracker::CountUnexplained(RequestFingerprint request,
                                           std::size_t crashes) const {
  const auto explains = [&](RequestFingerprint other) {
    const std::size_t other_crashes = CountCrashes(other);
    return other_crashes >= options_.crashes_to_quarantine &&
           other_crashes > crashes;
  };
  std::size_t count = 0;
  for (const Crash& it : crashes_) {
    if (it.is_confirmed && it.Has(request) &&
        std::ranges::none_of(it.suspects, explains)) {
      ++count;
    }
  }
  return count;
}

bool CrashTracker::IsCulprit(RequestFingerprint request) const {
  const std::size_t crashes = CountCrashes(request);
  return crashes >= options_.crashes_to_quarantine &&
         CountUnexplained(request, crashes) >= options_.crashes_to_quarantine;
}

Duration CrashTracker::QuarantineAfter(std::size_t crashes) const {
  Duration time = options_.quarantine;
  for (std::size_t n = options_.crashes_to_quarantine;
       n < crashes && time < options_.max_quarantine; ++n) {
    time *= 2;
  }
  return Scaled(std::min(time, options_.max_quarantine), quarantine_factor_);
}

RequestJudgement CrashTracker::Judge(RequestFingerprint request,
                                     TimePoint now) {
  Forget(now);
  if (!IsSuspect(request)) {
    return {};
  }
  if (!IsCulprit(request)) {
    return {Suspicion::kSuspected, {}};
  }
  const Record record = RecordOf(request);
  const TimePoint until = record.last_crash + QuarantineAfter(record.crashes);
  if (now < until) {
    return {Suspicion::kQuarantined, until - now};
  }
  const auto trial = last_trials_.find(request);
  if (trial != last_trials_.end() && now < trial->second + kTrialTimeout) {
    return {Suspicion::kQuarantined, trial->second + kTrialTimeout - now};
  }
  if (last_trials_.size() >= options_.max_crashes) {
    last_trials_.clear();
  }
  last_trials_[request] = now;
  return {Suspicion::kSuspected, {}, true};
}

std::vector<CrashObservation> CrashTracker::ObservationsOf(
    RequestFingerprint request) const {
  std::vector<CrashObservation> observations;
  for (const Crash& it : crashes_) {
    if (it.is_confirmed && it.Has(request)) {
      observations.push_back({request, it.endpoint, it.at});
    }
  }
  return observations;
}

std::vector<RequestFingerprint> CrashTracker::Suspects(
    std::size_t least) const {
  std::unordered_map<RequestFingerprint, std::size_t> counts;
  for (const Crash& crash : crashes_) {
    for (const RequestFingerprint it : crash.suspects) {
      counts[it] += crash.is_confirmed ? 1 : 0;
    }
  }
  std::vector<RequestFingerprint> suspects;
  for (const auto& [request, count] : counts) {
    if (count >= least) {
      suspects.push_back(request);
    }
  }
  std::ranges::sort(suspects, [&](RequestFingerprint a, RequestFingerprint b) {
    return std::pair(counts[b], a) < std::pair(counts[a], b);
  });
  return suspects;
}

void CrashTracker::Forget(TimePoint now) {
  const auto is_old = [&](const Crash& it) {
    return now - it.at >= options_.memory;
  };
  if (!crashes_.empty() && is_old(crashes_.front())) {
    RemoveCrashes(is_old);
  }
}

}  // namespace damasktack
