#include "policy/endpoint_roster.h"

#include <algorithm>
#include <utility>

#include "policy/ejection.h"
#include "policy/slow_start.h"

namespace damasktack {

namespace {

// An answer written before the endpoint began to drain may arrive after one
// that says so. Believed, it would bring new calls to an endpoint that is
// about to stop; answers in flight are far younger than this.
constexpr Duration kDrainHolds = std::chrono::seconds(2);

// How often penalties fade without an end of a send.
constexpr Duration kRefreshTime = std::chrono::milliseconds(100);

// Whether the end of a send says anything of the endpoint's health: the
// caller cancels, and an endpoint that sheds is only full.
bool TellsOfHealth(SendResult result) {
  return result != SendResult::kCancelled && result != SendResult::kShed;
}

}  // namespace

EndpointIndex EndpointRoster::AllocateIndex() {
  const auto free = std::ranges::find_if(gone_, [&](EndpointIndex it) {
    const EndpointRecord& record = records_[it];
    return record.estimate.own_in_flight() == 0 && !record.probe_pending;
  });
  if (free == gone_.end()) {
    records_.emplace_back();
    ++in_state_[static_cast<std::size_t>(records_.back().state)];
    return static_cast<EndpointIndex>(records_.size() - 1);
  }
  const EndpointIndex index = *free;
  Move(index, EndpointRecord().state);
  records_[index] = EndpointRecord();
  return index;
}

EndpointIndex EndpointRoster::Add(bool taken_as_warm, TimePoint now) {
  const EndpointIndex index = AllocateIndex();
  records_[index].state_since = now;
  if (taken_as_warm) {
    Follow(index, EndpointEvent::kServes, "listed", now);
    Follow(index, EndpointEvent::kWarmed, "listed", now);
  }
  Recount();
  return index;
}

void EndpointRoster::OnListed(EndpointIndex index,
                              const EndpointSpec& spec,
                              TimePoint now) {
  EndpointRecord& record = records_[index];
  const bool was_leaving = record.listed_as_leaving;
  record.listed_as_leaving = !spec.AcceptsNewCalls();
  if (record.listed_as_leaving) {
    Follow(index, EndpointEvent::kDrains,
           spec.zone_drained ? "zone drained" : "list", now);
  } else if (was_leaving && !record.drain_reported &&
             !record.announced_leaving) {
    Follow(index, EndpointEvent::kServes, "list", now);
  }
  KeepCeiling(now);
}

void EndpointRoster::OnUnlisted(EndpointIndex index, TimePoint now) {
  records_[index].listed = false;
  Follow(index, EndpointEvent::kUnlisted, "list", now);
  KeepCeiling(now);
}

void EndpointRoster::OnReportedMode(EndpointIndex index,
                                    EndpointMode mode,
                                    TimePoint now) {
  EndpointRecord& record = records_[index];
  if (mode == EndpointMode::kDraining) {
    record.drain_reported = true;
    record.drain_reported_at = now;
    Follow(index, EndpointEvent::kDrains, "report", now);
    KeepCeiling(now);
    return;
  }
  const bool is_held =
      record.drain_reported && now - record.drain_reported_at < kDrainHolds;
  if (is_held || record.announced_leaving) {
    return;
  }
  record.drain_reported = false;
  if (mode == EndpointMode::kStarting) {
    Follow(index, EndpointEvent::kRestarts, "report", now);
  } else if (!record.listed_as_leaving) {
    Follow(index, EndpointEvent::kServes, "report", now);
  }
}

void EndpointRoster::OnLeaving(EndpointIndex index, TimePoint now) {
  if (std::exchange(records_[index].announced_leaving, true)) {
    return;
  }
  Follow(index, EndpointEvent::kDrains, "said that it leaves", now);
  KeepCeiling(now);
}

void EndpointRoster::OnMisdirected(EndpointIndex index, TimePoint now) {
  EndpointRecord& record = records_[index];
  record.drain_reported = true;
  record.drain_reported_at = now;
  Follow(index, EndpointEvent::kDrains, "address taken over", now);
  KeepCeiling(now);
}

void EndpointRoster::OnSendEnd(EndpointIndex index,
                               SendResult result,
                               double relative_time,
                               TimePoint now) {
  if (result == SendResult::kMisdirected) {
    OnMisdirected(index, now);
    return;
  }
  EndpointRecord& record = records_[index];
  record.health.OnEnd(result, relative_time, now);
  service_health_.OnEnd(result, relative_time, now);
  const HealthComparison health = Compare(record.health, service_health_, now);
  record.penalty = health.Penalty();
  if (record.state == EndpointState::kTrial) {
    OnTrialEnd(index, result, now);
    return;
  }
  // An endpoint that sends no reports shows by an answer that it serves. Not
  // one that leaves: the answers to calls that were under way when it began to
  // would bring it new ones until it stops.
  const bool leaves = record.listed_as_leaving || record.drain_reported ||
                      record.announced_leaving;
  if (result == SendResult::kAnswered && !record.estimate.has_report() &&
      !leaves) {
    Follow(index, EndpointEvent::kServes, "answer", now);
  }
  if (TellsOfHealth(result)) {
    EjectOutlier(index, health, now);
  }
}

void EndpointRoster::OnTrialEnd(EndpointIndex index,
                                SendResult result,
                                TimePoint now) {
  if (!TellsOfHealth(result)) {
    return;
  }
  if (result != SendResult::kAnswered) {
    Eject(index, "trial failed", now);
    return;
  }
  if (++records_[index].trial_answers >= kTrialAnswers) {
    Follow(index, EndpointEvent::kTrialPassed, "trial passed", now);
  }
}

void EndpointRoster::EjectOutlier(EndpointIndex index,
                                  const HealthComparison& health,
                                  TimePoint now) {
  const std::string_view reason = OutlierReason(health);
  if (reason.empty()) {
    return;
  }
  const std::size_t out =
      CountIn(EndpointState::kEjected) + CountIn(EndpointState::kTrial);
  if (out < MaxEjected(CountLive())) {
    Eject(index, reason, now);
  }
}

void EndpointRoster::Eject(EndpointIndex index,
                           std::string_view reason,
                           TimePoint now) {
  if (!Follow(index, EndpointEvent::kFailing, reason, now)) {
    return;
  }
  EndpointRecord& record = records_[index];
  ++record.ejections;
  record.ejected_until = now + EjectionTime(record.ejections);
  next_change_ = std::min(next_change_, record.ejected_until);
  // A trial that fails may do so after others have left.
  KeepCeiling(now);
}

void EndpointRoster::ForgetHealth(EndpointRecord& record, TimePoint now) {
  service_health_.Forget(record.health, now);
  record.health = EndpointHealth();
  record.penalty = 0;
}

void EndpointRoster::Advance(TimePoint now) {
  if (now >= next_refresh_) {
    next_refresh_ = now + kRefreshTime;
    for (EndpointRecord& it : records_) {
      it.penalty = Compare(it.health, service_health_, now).Penalty();
    }
  }
  if (now < next_change_) {
    return;
  }
  next_change_ = TimePoint::max();
  for (EndpointIndex n = 0; n < records_.size(); ++n) {
    AdvanceOne(n, now);
  }
}

void EndpointRoster::AdvanceOne(EndpointIndex index, TimePoint now) {
  EndpointRecord& record = records_[index];
  if (record.state == EndpointState::kEjected) {
    if (now >= record.ejected_until) {
      Follow(index, EndpointEvent::kEjectionOver, "ejection over", now);
    } else {
      next_change_ = std::min(next_change_, record.ejected_until);
    }
  }
  if (record.state == EndpointState::kWarming) {
    const TimePoint warm_at = record.state_since + kWarmingTime;
    if (now >= warm_at) {
      Follow(index, EndpointEvent::kWarmed, "warm", now);
      record.ejections = 0;
    } else {
      next_change_ = std::min(next_change_, warm_at);
    }
  }
}

// Endpoints that leave lower the ceiling; those that have been out longest
// go on trial then.
void EndpointRoster::KeepCeiling(TimePoint now) {
  const std::size_t most = MaxEjected(CountLive());
  while (CountIn(EndpointState::kEjected) > most) {
    const auto longest =
        std::ranges::min_element(records_, {}, [](const EndpointRecord& it) {
          return it.state == EndpointState::kEjected ? it.state_since
                                                     : TimePoint::max();
        });
    Follow(static_cast<EndpointIndex>(longest - records_.begin()),
           EndpointEvent::kEjectionOver, "too many are out", now);
  }
}

bool EndpointRoster::Follow(EndpointIndex index,
                            EndpointEvent event,
                            std::string_view reason,
                            TimePoint now) {
  EndpointRecord& record = records_[index];
  const std::optional<EndpointState> next =
      GetEndpointChart().Next(record.state, event);
  if (!next) {
    return false;
  }
  const auto is_out = [](EndpointState it) {
    return it == EndpointState::kEjected || it == EndpointState::kTrial;
  };
  if (is_out(record.state) || is_out(*next)) {
    changes_.push_back({index, record.state, *next, reason});
  }
  Move(index, *next);
  record.state_since = now;
  record.reason = reason;
  if (record.state == EndpointState::kTrial) {
    // What led to the ejection says nothing of the trial.
    ForgetHealth(record, now);
    record.trial_answers = 0;
  }
  if (record.state == EndpointState::kWarming) {
    next_change_ = std::min(next_change_, now + kWarmingTime);
  }
  Recount();
  return true;
}

std::vector<EndpointChange> EndpointRoster::TakeChanges(
    const std::vector<EndpointSpec>& specs) {
  std::vector<EndpointChange> taken;
  for (const Change& it : std::exchange(changes_, {})) {
    taken.push_back({specs[it.index].id, std::string(ChartName(it.from)),
                     std::string(ChartName(it.to)), std::string(it.reason)});
  }
  return taken;
}

void EndpointRoster::Move(EndpointIndex index, EndpointState to) {
  EndpointState& state = records_[index].state;
  --in_state_[static_cast<std::size_t>(state)];
  ++in_state_[static_cast<std::size_t>(to)];
  if (to == EndpointState::kGone) {
    gone_.insert(index);
  } else if (state == EndpointState::kGone) {
    gone_.erase(index);
  }
  state = to;
}

void EndpointRoster::RecountIfDue() const {
  if (!std::exchange(is_recount_due_, false)) {
    return;
  }
  ++recounts_;
  usable_.clear();
  usable_slots_ = 0;
  for (EndpointIndex n = 0; n < records_.size(); ++n) {
    if (TakesCalls(records_[n].state)) {
      usable_.push_back(n);
      usable_slots_ += records_[n].slots;
    }
  }
}

std::size_t EndpointRoster::CountLive() const {
  return records_.size() - CountIn(EndpointState::kDraining) -
         CountIn(EndpointState::kGone);
}

}  // namespace damasktack
