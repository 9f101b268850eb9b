#ifndef POLICY_ENDPOINT_STATE_H_
#define POLICY_ENDPOINT_STATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "core/bound_chart.h"

namespace damasktack {

// States of one endpoint as one host sees it; policy/charts/endpoint.json
// says what leads where.
enum class EndpointState : std::uint8_t {
  // New, or by its own word not yet warm: one call at a time.
  kStarting,
  // Takes a part of its calls that grows.
  kWarming,
  kServing,
  // Fails or is slow by comparison: no calls for a while.
  kEjected,
  // Single calls show whether it may return.
  kTrial,
  // Leaves, by the list or by its own word: no new calls.
  kDraining,
  kGone,
};
inline constexpr std::size_t kEndpointStateCount = 7;

enum class EndpointEvent : std::uint8_t {
  kServes,
  kWarmed,
  kFailing,
  kEjectionOver,
  kTrialPassed,
  kDrains,
  kRestarts,
  kUnlisted,
};

template <>
struct ChartNames<EndpointState> {
  static constexpr std::array<std::string_view, 7> kNames = {
      "starting", "warming", "serving", "ejected", "trial", "draining", "gone"};
};

template <>
struct ChartNames<EndpointEvent> {
  static constexpr std::array<std::string_view, 8> kNames = {
      "serves",       "warmed", "failing",  "ejection-over",
      "trial-passed", "drains", "restarts", "unlisted"};
};

using EndpointChart = BoundChart<EndpointState, EndpointEvent>;

// The chart that the binary carries, bound at the first call.
const EndpointChart& GetEndpointChart();

// Whether calls may be sent there at all.
constexpr bool TakesCalls(EndpointState state) {
  return state == EndpointState::kStarting ||
         state == EndpointState::kWarming || state == EndpointState::kServing ||
         state == EndpointState::kTrial;
}

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_STATE_H_
