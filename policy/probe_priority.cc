#include "policy/probe_priority.h"

#include <algorithm>

namespace damasktack {

namespace {

// Age of a report, in time constants, after which a probe is useful. In a fleet
// of fifteen hosts, a host receives a report on an answer about every three
// execution times; an earlier probe would be wasted.
constexpr std::int64_t kRelaxationsUntilStale = 8;
constexpr Duration kMinStaleAge = std::chrono::milliseconds(50);
constexpr Duration kStaleAgeWhenIdle = std::chrono::seconds(5);
// A probe without a result for this long counts as lost and no longer blocks
// the next one.
constexpr Duration kProbeTimeout = std::chrono::seconds(2);
// Weight for an endpoint that takes no calls: its load does not matter, only
// whether it serves again.
constexpr double kPriorityWithoutCalls = 0.2;
constexpr Duration kAgeWithoutReport = std::chrono::minutes(1);

}  // namespace

double ProbePriority(const EndpointRecord& record,
                     const ProbeContext& context) {
  const bool pending = record.probe_pending &&
                       context.now - record.probe_sent_at < kProbeTimeout;
  if (pending || record.state == EndpointState::kGone ||
      record.listed_as_leaving) {
    return 0;
  }
  const bool takes_calls = TakesCalls(record.state);
  const Duration stale =
      context.busy && takes_calls
          ? std::max(kRelaxationsUntilStale * context.relaxation, kMinStaleAge)
          : kStaleAgeWhenIdle;
  const Duration age = record.estimate.has_report()
                           ? record.estimate.ReportAge(context.now)
                           : kAgeWithoutReport;
  if (age < stale) {
    return 0;
  }
  const double weight = takes_calls ? 1 : kPriorityWithoutCalls;
  return weight * static_cast<double>(age.count());
}

}  // namespace damasktack
