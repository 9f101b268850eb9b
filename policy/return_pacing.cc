#include "policy/return_pacing.h"

#include <algorithm>

namespace damasktack {

namespace {

// Callers honour Retry-After up to this part of the time that they have left.
constexpr int kHonouredDivisor = 3;
// Upper bound on a delay, for callers that state no time limit.
constexpr Duration kMaxDelay = std::chrono::seconds(1);
// Number of recent answers from which the capacity is known.
constexpr double kMinAnswers = 4;

// Returns a random time between both.
Duration RandomBetween(Duration first, Duration last, Random& random) {
  constexpr std::uint32_t kSteps = 1U << 16U;
  const auto step = static_cast<std::int64_t>(UniformBelow(random, kSteps));
  return first + (last - first) / kSteps * step;
}

}  // namespace

void ReturnPacing::SetHosts(std::int64_t hosts) {
  hosts_ = std::max<std::int64_t>(hosts, 1);
}

std::optional<double> ReturnPacing::FleetCapacity(TimePoint now) const {
  if (fleet_capacity_ && *fleet_capacity_ > 0) {
    return fleet_capacity_;
  }
  const double answered = answered_.Value(now);
  if (answered < kMinAnswers) {
    return std::nullopt;
  }
  const std::chrono::duration<double> memory = kMemory;
  return answered / memory.count() * static_cast<double>(hosts_);
}

Duration ReturnPacing::Delay(const RefusedCall& call,
                             TimePoint now,
                             Random& random) {
  const Duration honoured =
      std::min<Duration>(call.time_left / kHonouredDivisor, kMaxDelay);
  if (call.useful_for <= call.earliest) {
    // The call cannot be on time, so it yields to those that can.
    return honoured;
  }
  const Duration latest = std::min(honoured, call.useful_for);
  const std::optional<double> capacity = FleetCapacity(now);
  if (!capacity || latest <= call.earliest) {
    return std::min(call.earliest, std::max(latest, Duration::zero()));
  }
  const auto urgency = static_cast<std::size_t>(call.urgency);
  const TimePoint earliest = now + call.earliest;
  const TimePoint reserved = std::max(next_return_[urgency], earliest);
  if (reserved > now + latest) {
    // More callers are refused than can return in time. Evenly spread, the
    // fewest of them meet each other.
    ++over_capacity_;
    return RandomBetween(call.earliest, latest, random);
  }
  paced_ += reserved > earliest ? 1 : 0;
  const std::chrono::duration<double> spacing(static_cast<double>(hosts_) /
                                              *capacity);
  const Duration step = std::chrono::duration_cast<Duration>(spacing);
  // A return of one urgency takes capacity from this and the less urgent ones.
  for (std::size_t n = urgency; n < kUrgencyCount; ++n) {
    next_return_[n] = std::max(next_return_[n], earliest) + step;
  }
  return reserved - now;
}

}  // namespace damasktack
