#include "policy/returning_caller_detector.h"

#include <algorithm>

namespace damasktack {

namespace {

// Time after which an earlier maximum is forgotten. Each route receives
// first-time callers many times within it.
constexpr Duration kObservationPeriod = std::chrono::seconds(20);
// A refused caller has lost more than this: two network round trips, and the
// shortest retry delay that it is told.
constexpr Duration kMinTimeLostByRetry = std::chrono::milliseconds(10);
// Limit on the remembered routes; beyond it, all are forgotten.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

void ReturningCallerDetector::Record(const CustomerId& route,
                                     Duration asked,
                                     TimePoint now) {
  if (max_allowances_.size() >= kMaxRoutes &&
      !max_allowances_.contains(route)) {
    max_allowances_.clear();
  }
  MaxAllowance& it = max_allowances_[route];
  if (now - it.since >= kObservationPeriod) {
    it.before =
        now - it.since < 2 * kObservationPeriod ? it.now : Duration::zero();
    it.now = Duration::zero();
    it.since = now;
  }
  it.now = std::max(it.now, asked);
}

bool ReturningCallerDetector::IsReturning(const CustomerId& route,
                                          Duration asked) const {
  const auto it = max_allowances_.find(route);
  return it != max_allowances_.end() &&
         asked + kMinTimeLostByRetry <
             std::max(it->second.now, it->second.before);
}

}  // namespace damasktack
