#include "policy/ejection.h"

#include <algorithm>

namespace damasktack {

namespace {

// Sends of the last seconds below which nothing is concluded.
constexpr double kFewestEnds = 4;
constexpr double kFewestAnswers = 8;
constexpr double kErrorShare = 0.5;
constexpr double kErrorShareAboveOthers = 0.3;
constexpr double kSlowness = 4;

constexpr std::size_t kEndpointsForOneEjected = 3;

constexpr Duration kFirstEjection = std::chrono::seconds(1);
constexpr Duration kLongestEjection = std::chrono::seconds(30);
constexpr std::int32_t kMostDoublings = 5;

}  // namespace

std::string_view OutlierReason(const HealthComparison& health) {
  if (health.ends >= kFewestEnds && health.error_share >= kErrorShare &&
      health.error_share - health.error_share_of_others >=
          kErrorShareAboveOthers) {
    return "errors";
  }
  if (health.answers >= kFewestAnswers && health.slowness >= kSlowness) {
    return "slow";
  }
  return {};
}

std::size_t MaxEjected(std::size_t live) {
  return live / kEndpointsForOneEjected;
}

Duration EjectionTime(std::int32_t ejections) {
  const std::int32_t doublings = std::clamp(ejections - 1, 0, kMostDoublings);
  return std::min(kFirstEjection * (1 << doublings), kLongestEjection);
}

}  // namespace damasktack
