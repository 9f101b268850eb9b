#include "policy/caller_times.h"

#include <algorithm>

namespace damasktack {

namespace {

// Time after which an earlier maximum is forgotten. Each route receives
// first-time callers many times within it.
constexpr Duration kSpan = std::chrono::seconds(20);
// A refused caller has lost more than this: two network round trips, and the
// shortest retry delay that it is told.
constexpr Duration kLostByReturn = std::chrono::milliseconds(10);
// Limit on the remembered routes; beyond it, all are forgotten.
constexpr std::size_t kMostRoutes = 4096;

}  // namespace

void CallerTimes::Note(const CustomerId& route, Duration asked, TimePoint now) {
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

bool CallerTimes::HasComeBack(const CustomerId& route, Duration asked) const {
  const auto it = longest_.find(route);
  return it != longest_.end() &&
         asked + kLostByReturn < std::max(it->second.now, it->second.before);
}

}  // namespace damasktack
