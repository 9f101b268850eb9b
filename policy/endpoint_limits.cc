#include "policy/endpoint_limits.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace damasktack {

namespace {

// The part of a limit that hosts share out: draws of different hosts fall
// together now and then.
constexpr double kSharedOut = 0.5;
// Requests a second that all hosts together send at least. An endpoint that
// takes none at all would never be asked again, and nobody would learn that its
// limit is gone.
constexpr double kLeastRate = 0.1;

}  // namespace

void EndpointLimits::OnAdded(EndpointIndex index, const EndpointId& id) {
  restraints_.resize(std::max<std::size_t>(restraints_.size(), index + 1));
  const std::string names = host_.text() + id.text();
  restraints_[index] = Restraint();
  restraints_[index].schedule =
      SharedRate(XXH3_64bits(names.data(), names.size()));
}

// An answer without a limit takes it back only where its request went out after
// the limit was stated: of answers that are under way together either may be
// read first.
void EndpointLimits::OnAnswer(EndpointIndex index,
                              const EndpointSignals& signals,
                              TimePoint asked_at,
                              TimePoint now) {
  Restraint& restraint = restraints_[index];
  const bool is_taken_back = restraint.rate_limit && !signals.rate_limit &&
                             asked_at >= restraint.limit_stated_at;
  if (is_taken_back) {
    restraint.rate_limit.reset();
    restraint.limit_stated_at = now;
  }
  OnProbeAnswer(index, signals, now);
}

void EndpointLimits::OnProbeAnswer(EndpointIndex index,
                                   const EndpointSignals& signals,
                                   TimePoint now) {
  if (signals.rest) {
    TimePoint& until = restraints_[index].rest_until;
    until = std::max<TimePoint>(until, now + *signals.rest);
  }
  if (signals.rate_limit) {
    restraints_[index].rate_limit = signals.rate_limit;
    restraints_[index].limit_stated_at = now;
  }
}

void EndpointLimits::OnPeerLimit(EndpointIndex index,
                                 std::optional<double> rate_limit,
                                 TimePoint stated_at) {
  Restraint& restraint = restraints_[index];
  if (stated_at > restraint.limit_stated_at) {
    restraint.rate_limit = rate_limit;
    restraint.limit_stated_at = stated_at;
  }
}

double EndpointLimits::Share(double rate_limit, TimePoint now) const {
  return std::max(rate_limit * kSharedOut, kLeastRate) / fleet_.Count(now);
}

bool EndpointLimits::CanAcceptCall(EndpointIndex index, TimePoint now) const {
  const Restraint& it = restraints_[index];
  if (now < it.rest_until) {
    return false;
  }
  return !it.rate_limit || it.schedule.Allows(Share(*it.rate_limit, now), now);
}

TimePoint EndpointLimits::AvailableAt(EndpointIndex index,
                                      TimePoint now,
                                      TimePoint latest) const {
  const Restraint& it = restraints_[index];
  const TimePoint rested = std::max(now, it.rest_until);
  if (!it.rate_limit || rested >= latest) {
    return std::min(rested, latest);
  }
  return it.schedule.NextAllowed(Share(*it.rate_limit, now), rested, latest);
}

std::optional<TimePoint> EndpointLimits::FirstAvailableAt(
    std::span<const EndpointIndex> endpoints,
    TimePoint now,
    TimePoint latest) const {
  std::optional<TimePoint> first;
  for (const EndpointIndex it : endpoints) {
    first = AvailableAt(it, now, first.value_or(latest));
    if (*first <= now) {
      break;
    }
  }
  return first;
}

}  // namespace damasktack
