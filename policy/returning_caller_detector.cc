#include "policy/returning_caller_detector.h"

#include <algorithm>

namespace damasktack {

namespace {

// After which an earlier longest time is forgotten; a route has its first
// callers many times within it.
constexpr Duration kSpan = std::chrono::seconds(20);
// Whoever was refused has lost more than this: two ways, and the least time
// that is told before a return.
constexpr Duration kLostByReturn = std::chrono::milliseconds(10);
// Routes that are remembered; all are forgotten beyond.
constexpr std::size_t kMostRoutes = 4096;

}  // namespace

void ReturningCallerDetector::Note(const CustomerId& route,
                                   Duration asked,
                                   TimePoint now) {
  if (longest_.size() >= kMostRoutes && !longest_.contains(route)) {
    longest_.clear();
  }
  Longest& it = longest_[route];
  if (now - it.since >= kSpan) {
    it.before = now - it.since < 2 * kSpan ? it.now : Duration::zero();
    it.now = Duration::zero();
    it.since = now;
  }
  it.now = std::max(it.now, asked);
}

bool ReturningCallerDetector::IsReturning(const CustomerId& route,
                                          Duration asked) const {
  const auto it = longest_.find(route);
  return it != longest_.end() &&
         asked + kLostByReturn < std::max(it->second.now, it->second.before);
}

}  // namespace damasktack
