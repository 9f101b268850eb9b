#ifndef MAIN_FLEET_METRICS_H_
#define MAIN_FLEET_METRICS_H_

#include <string>

#include "fleet/fleet_state.h"
#include "fleet/platform_reader.h"
#include "wire/transport_counters.h"

namespace damasktack {

// Renders this host's fleet metrics in the Prometheus text format:
// `damasktack_peer_` for links and frames, `damasktack_fleet_` for messages and
// this host's role, `damasktack_documents_` for the results of received
// documents, `damasktack_platform_` for reads. All counters start at 0 with the
// process and are present from the first response on.
std::string RenderFleetMetrics(const FleetState& state,
                               const TransportCounters& peers,
                               const PlatformReaderCounters& reader);

}  // namespace damasktack

#endif  // MAIN_FLEET_METRICS_H_
