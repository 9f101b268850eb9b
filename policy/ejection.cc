#include "policy/ejection.h"

#include <algorithm>

namespace damasktack {

namespace {

// Minimum of recent sends, and of recent answers, for a verdict.
constexpr double kMinSends = 4;
constexpr double kMinAnswers = 8;
constexpr double kMinErrorShare = 0.5;
constexpr double kMinErrorShareAboveOthers = 0.3;
constexpr double kMinSlowness = 4;

constexpr std::size_t kEndpointsPerEjection = 3;

constexpr Duration kBaseEjectionTime = std::chrono::seconds(1);
constexpr Duration kMaxEjectionTime = std::chrono::seconds(30);
constexpr std::int32_t kMaxDoublings = 5;

}  // namespace

std::string_view OutlierReason(const HealthComparison& health) {
  if (health.ends >= kMinSends && health.error_share >= kMinErrorShare &&
      health.error_share - health.error_share_of_others >=
          kMinErrorShareAboveOthers) {
    return "errors";
  }
  if (health.answers >= kMinAnswers && health.slowness >= kMinSlowness) {
    return "slow";
  }
  return {};
}

std::size_t MaxEjected(std::size_t live) {
  return live / kEndpointsPerEjection;
}

Duration EjectionTime(std::int32_t ejections) {
  const std::int32_t doublings = std::clamp(ejections - 1, 0, kMaxDoublings);
  return std::min(kBaseEjectionTime * (1 << doublings), kMaxEjectionTime);
}

}  // namespace damasktack
