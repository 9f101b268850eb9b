#include "policy/execution_time.h"

#include <algorithm>

namespace damasktack {

namespace {

constexpr double kSampleWeight = 1.0 / 64;
constexpr double kMinExecutionFraction = 0.1;

}  // namespace

Duration ExecutionTime::Estimate(Duration took,
                                 Duration round_trip,
                                 const std::optional<EndpointReport>& report) {
  if (report) {
    // A call that arrives after the reported ones waits until enough of them
    // have ended to free a slot.
    const int ends = report->in_flight + report->queued - report->slots + 1;
    const double by_slot = static_cast<double>(std::max(ends, 0)) /
                           static_cast<double>(std::max(report->slots, 1));
    ends_by_slot_ += (by_slot - ends_by_slot_) * kSampleWeight;
  }
  // A busy endpoint completes as many calls as it has slots within one mean
  // execution time.
  const double wait = ends_by_slot_ * mean_;
  const auto total = static_cast<double>(took.count());
  const double rest = total - static_cast<double>(round_trip.count()) - wait;
  const double execution = std::max(rest, total * kMinExecutionFraction);
  mean_ += (execution - mean_) * (mean_ == 0 ? 1 : kSampleWeight);
  return Duration(static_cast<Duration::rep>(execution));
}

}  // namespace damasktack
