#ifndef POLICY_ENDPOINT_STATE_H_
#define POLICY_ENDPOINT_STATE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "core/bound_chart.h"

namespace damasktack {

// States of one endpoint as seen by one host; policy/charts/endpoint.json
// defines the transitions.
enum class EndpointState : std::uint8_t {
  // New, or reported by itself as not ready: one call at a time.
  kStarting,
  // Slow start: takes a growing share of its calls.
  kWarming,
  kServing,
  // Fails or is slow compared with the others: no calls for a while.
  kEjected,
  // Single calls test whether it may return to service.
  kTrial,
  // Leaving, according to the list or to itself: no new calls.
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

// Returns the state chart that is embedded in the binary; it is bound at the
// first call.
const EndpointChart& GetEndpointChart();

// Returns whether an endpoint in this state may be sent calls.
constexpr bool TakesCalls(EndpointState state) {
  return state == EndpointState::kStarting ||
         state == EndpointState::kWarming || state == EndpointState::kServing ||
         state == EndpointState::kTrial;
}

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_STATE_H_
