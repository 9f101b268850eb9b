#include "policy/endpoint_restraints.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace damasktack {

namespace {

// Fraction of a limit that is divided among the hosts: the random draws of
// different hosts coincide now and then.
constexpr double kSharedOut = 0.5;
// Lower bound on the requests a second of all hosts together. An endpoint with
// a limit of zero would otherwise never get a request again, and no host would
// learn that the limit has ended.
constexpr double kLeastRate = 0.1;

}  // namespace

void EndpointRestraints::OnAdded(EndpointIndex index, const EndpointId& id) {
  restraints_.resize(std::max<std::size_t>(restraints_.size(), index + 1));
  const std::string names = host_.text() + id.text();
  restraints_[index] = Restraint();
  restraints_[index].schedule =
      SharedRate(XXH3_64bits(names.data(), names.size()));
}

// An answer without a limit withdraws it only if its request was sent after the
// limit was stated: answers that are in flight together may be read in any
// order.
void EndpointRestraints::OnAnswer(EndpointIndex index,
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

void EndpointRestraints::OnProbeAnswer(EndpointIndex index,
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

void EndpointRestraints::OnHeard(EndpointIndex index,
                                 std::optional<double> rate_limit,
                                 TimePoint stated_at) {
  Restraint& restraint = restraints_[index];
  if (stated_at > restraint.limit_stated_at) {
    restraint.rate_limit = rate_limit;
    restraint.limit_stated_at = stated_at;
  }
}

double EndpointRestraints::Share(double rate_limit, TimePoint now) const {
  return std::max(rate_limit * kSharedOut, kLeastRate) / fleet_.Count(now);
}

bool EndpointRestraints::MayTakeOne(EndpointIndex index, TimePoint now) const {
  const Restraint& it = restraints_[index];
  if (now < it.rest_until) {
    return false;
  }
  return !it.rate_limit || it.schedule.Allows(Share(*it.rate_limit, now), now);
}

TimePoint EndpointRestraints::OpensAt(EndpointIndex index,
                                      TimePoint now,
                                      TimePoint latest) const {
  const Restraint& it = restraints_[index];
  const TimePoint rested = std::max(now, it.rest_until);
  if (!it.rate_limit || rested >= latest) {
    return std::min(rested, latest);
  }
  return it.schedule.NextAllowed(Share(*it.rate_limit, now), rested, latest);
}

std::optional<TimePoint> EndpointRestraints::FirstOpening(
    std::span<const EndpointIndex> endpoints,
    TimePoint now,
    TimePoint latest) const {
  std::optional<TimePoint> first;
  for (const EndpointIndex it : endpoints) {
    first = OpensAt(it, now, first.value_or(latest));
    if (*first <= now) {
      break;
    }
  }
  return first;
}

}  // namespace damasktack
