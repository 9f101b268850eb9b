#include "policy/probe_priority.h"

#include <algorithm>

namespace damasktack {

namespace {

// Reports on answers come about every three execution times to a host of
// fifteen; sooner than after several of those a probe is wasted.
constexpr std::int64_t kRelaxationsUntilStale = 8;
constexpr Duration kLeastStale = std::chrono::milliseconds(50);
constexpr Duration kStaleWhenIdle = std::chrono::seconds(5);
// A probe that has been lost must not bar the endpoint from the next.
constexpr Duration kProbeLost = std::chrono::seconds(2);
// Nothing hangs on the load of an endpoint that takes no calls, only on
// whether it serves again.
constexpr double kWorthWithoutCalls = 0.2;
constexpr Duration kNeverReported = std::chrono::minutes(1);

}  // namespace

double ProbePriority(const EndpointRecord& record,
                     const ProbeContext& context) {
  const bool pending =
      record.probe_pending && context.now - record.probe_sent_at < kProbeLost;
  if (pending || record.state == EndpointState::kGone ||
      record.listed_as_leaving) {
    return 0;
  }
  const bool takes_calls = TakesCalls(record.state);
  const Duration stale =
      context.busy && takes_calls
          ? std::max(kRelaxationsUntilStale * context.relaxation, kLeastStale)
          : kStaleWhenIdle;
  const Duration age = record.estimate.has_report()
                           ? record.estimate.ReportAge(context.now)
                           : kNeverReported;
  if (age < stale) {
    return 0;
  }
  const double worth = takes_calls ? 1 : kWorthWithoutCalls;
  return worth * static_cast<double>(age.count());
}

}  // namespace damasktack
