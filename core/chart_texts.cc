// Written by misc/scripts/embed_charts.py; change charts/*.json instead.

#include "core/chart_texts.h"

namespace damasktack {

std::string_view HostChartText() {
  return R"chart({
  // Life cycle of one load balancer host's process.
  "name": "host",
  "initial": "starting",
  "final": ["stopped"],
  "states": ["starting", "ready", "draining", "stopping", "stopped"],
  "events": ["documents-in-force", "terminate", "lag-over", "calls-finished"],
  "transitions": [
    // Not ready until contracts, services and hosts are loaded.
    {"from": "starting", "event": "documents-in-force", "to": "ready"},
    {"from": "starting", "event": "terminate", "to": "stopping"},
    // Still serves, since the platform's balancer notices the stop late.
    {"from": "ready", "event": "terminate", "to": "draining"},
    {"from": "draining", "event": "lag-over", "to": "stopping"},
    // Accepts no new calls and finishes those in flight.
    {"from": "stopping", "event": "calls-finished", "to": "stopped"}
  ]
}
)chart";
}

}  // namespace damasktack
