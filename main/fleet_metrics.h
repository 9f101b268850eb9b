#ifndef MAIN_FLEET_METRICS_H_
#define MAIN_FLEET_METRICS_H_

#include <string>

#include "fleet/fleet_state.h"
#include "fleet/platform_reader.h"
#include "wire/transport_counters.h"

namespace damasktack {

// What this host counts of its part in the fleet, in the Prometheus text
// format: `damasktack_peer_` for links and frames, `damasktack_fleet_` for
// messages and this host's role, `damasktack_documents_` for what came of
// offered documents, `damasktack_platform_` for reads. All counters start at 0
// with the process and are there from the first answer on.
std::string RenderFleetMetrics(const FleetState& state,
                               const TransportCounters& peers,
                               const PlatformReaderCounters& reader);

}  // namespace damasktack

#endif  // MAIN_FLEET_METRICS_H_
