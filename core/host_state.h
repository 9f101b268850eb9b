#ifndef CORE_HOST_STATE_H_
#define CORE_HOST_STATE_H_

#include <array>
#include <cstdint>
#include <string_view>

#include "core/bound_chart.h"

namespace damasktack {

// States of one load balancer host. The transitions are defined in
// core/charts/host.json.
enum class HostState : std::uint8_t {
  // Contracts, services or hosts have not been loaded yet.
  kStarting,
  kReady,
  // Reports "not ready" but still serves, until the platform's balancer has
  // noticed.
  kDraining,
  // Accepts no new calls and finishes those in flight.
  kStopping,
  kStopped,
};

enum class HostEvent : std::uint8_t {
  kDocumentsInForce,
  kTerminate,
  kLagOver,
  kCallsFinished,
};

template <>
struct ChartNames<HostState> {
  static constexpr std::array<std::string_view, 5> kNames = {
      "starting", "ready", "draining", "stopping", "stopped"};
};

template <>
struct ChartNames<HostEvent> {
  static constexpr std::array<std::string_view, 4> kNames = {
      "documents-in-force", "terminate", "lag-over", "calls-finished"};
};

using HostChart = BoundChart<HostState, HostEvent>;

// Returns the chart embedded in the binary; bound on first use.
const HostChart& GetHostChart();

}  // namespace damasktack

#endif  // CORE_HOST_STATE_H_
