#include "policy/endpoint_limits.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace damasktack {

namespace {

// Fraction of a limit that is divided among the hosts: the random draws of
// different hosts coincide now and then.
constexpr double kAllocatedFraction = 0.5;
// Lower bound on the requests a second of all hosts together. An endpoint with
// a limit of zero would otherwise never get a request again, and no host would
// learn that the limit has ended.
constexpr double kMinFleetRate = 0.1;

}  // namespace

void EndpointLimits::OnAdded(EndpointIndex index, const EndpointId& id) {
  limits_.resize(std::max<std::size_t>(limits_.size(), index + 1));
  const std::string names = host_.text() + id.text();
  limits_[index] = EndpointLimit();
  limits_[index].schedule = SharedRate(XXH3_64bits(names.data(), names.size()));
}

// An answer without a limit withdraws it only if its request was sent after the
// limit was stated: answers that are in flight together may be read in any
// order.
void EndpointLimits::OnAnswer(EndpointIndex index,
                              const EndpointSignals& signals,
                              TimePoint asked_at,
                              TimePoint now) {
  EndpointLimit& endpoint_limit = limits_[index];
  const bool is_taken_back = endpoint_limit.rate_limit && !signals.rate_limit &&
                             asked_at >= endpoint_limit.limit_stated_at;
  if (is_taken_back) {
    endpoint_limit.rate_limit.reset();
    endpoint_limit.limit_stated_at = now;
  }
  OnProbeAnswer(index, signals, now);
}

void EndpointLimits::OnProbeAnswer(EndpointIndex index,
                                   const EndpointSignals& signals,
                                   TimePoint now) {
  if (signals.rest) {
    TimePoint& until = limits_[index].paused_until;
    until = std::max<TimePoint>(until, now + *signals.rest);
  }
  if (signals.rate_limit) {
    limits_[index].rate_limit = signals.rate_limit;
    limits_[index].limit_stated_at = now;
  }
}

void EndpointLimits::OnPeerLimit(EndpointIndex index,
                                 std::optional<double> rate_limit,
                                 TimePoint stated_at) {
  EndpointLimit& endpoint_limit = limits_[index];
  if (stated_at > endpoint_limit.limit_stated_at) {
    endpoint_limit.rate_limit = rate_limit;
    endpoint_limit.limit_stated_at = stated_at;
  }
}

double EndpointLimits::Share(double rate_limit, TimePoint now) const {
  return std::max(rate_limit * kAllocatedFraction, kMinFleetRate) /
         fleet_.Count(now);
}

bool EndpointLimits::CanAcceptCall(EndpointIndex index, TimePoint now) const {
  const EndpointLimit& it = limits_[index];
  if (now < it.paused_until) {
    return false;
  }
  return !it.rate_limit || it.schedule.Allows(Share(*it.rate_limit, now), now);
}

TimePoint EndpointLimits::AvailableAt(EndpointIndex index,
                                      TimePoint now,
                                      TimePoint latest) const {
  const EndpointLimit& it = limits_[index];
  const TimePoint rested = std::max(now, it.paused_until);
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
