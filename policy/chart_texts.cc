// Written by misc/scripts/embed_charts.py; change charts/*.json instead.

#include "policy/chart_texts.h"

namespace damasktack {

std::string_view CallChartText() {
  return R"chart({
  // States of one received call over all of its sends. A name that ends in
  // "unsure" follows a send that may have run the call.
  "name": "call",
  "initial": "waiting",
  "final": ["complete", "not-run", "unknown"],
  "states": [
    "waiting", "connecting", "written", "clear", "failed",
    "unsure", "waiting-unsure", "connecting-unsure", "written-unsure",
    "complete", "not-run", "unknown"
  ],
  "events": [
    "placed", "refused", "wrote", "not-connected", "shed", "answered",
    "failed", "lost", "send-again", "repeat", "give-up"
  ],
  "transitions": [
    {"from": "waiting", "event": "placed", "to": "connecting"},
    {"from": "waiting", "event": "refused", "to": "not-run"},
    {"from": "connecting", "event": "not-connected", "to": "clear"},
    {"from": "connecting", "event": "wrote", "to": "written"},
    {"from": "written", "event": "answered", "to": "complete"},
    {"from": "written", "event": "failed", "to": "failed"},
    {"from": "written", "event": "shed", "to": "clear"},
    {"from": "written", "event": "lost", "to": "unsure"},

    // No send so far has run the call: any call may be sent again.
    {"from": "clear", "event": "send-again", "to": "waiting"},
    {"from": "clear", "event": "give-up", "to": "not-run"},

    // A send may have run the call: only idempotent calls may "repeat".
    {"from": "failed", "event": "repeat", "to": "waiting-unsure"},
    {"from": "failed", "event": "give-up", "to": "complete"},
    {"from": "unsure", "event": "repeat", "to": "waiting-unsure"},
    {"from": "unsure", "event": "give-up", "to": "unknown"},

    // An earlier send may have run the call, whatever the result of later ones.
    {"from": "waiting-unsure", "event": "placed", "to": "connecting-unsure"},
    {"from": "waiting-unsure", "event": "refused", "to": "unknown"},
    {"from": "connecting-unsure", "event": "not-connected", "to": "unsure"},
    {"from": "connecting-unsure", "event": "wrote", "to": "written-unsure"},
    {"from": "written-unsure", "event": "answered", "to": "complete"},
    {"from": "written-unsure", "event": "failed", "to": "failed"},
    {"from": "written-unsure", "event": "shed", "to": "unsure"},
    {"from": "written-unsure", "event": "lost", "to": "unsure"}
  ]
}
)chart";
}

std::string_view EndpointChartText() {
  return R"chart({
  // States of one endpoint as seen by one host.
  "name": "endpoint",
  "initial": "starting",
  "final": ["gone"],
  "states": [
    "starting", "warming", "serving", "ejected", "trial", "draining", "gone"
  ],
  "events": [
    "serves", "warmed", "failing", "ejection-over", "trial-passed", "drains",
    "restarts", "unlisted"
  ],
  "transitions": [
    {"from": "starting", "event": "serves", "to": "warming"},
    {"from": "starting", "event": "drains", "to": "draining"},
    {"from": "starting", "event": "unlisted", "to": "gone"},
    {"from": "warming", "event": "warmed", "to": "serving"},
    {"from": "warming", "event": "failing", "to": "ejected"},
    {"from": "warming", "event": "drains", "to": "draining"},
    // It was replaced at the same address and reports that it is cold.
    {"from": "warming", "event": "restarts", "to": "starting"},
    {"from": "warming", "event": "unlisted", "to": "gone"},
    {"from": "serving", "event": "failing", "to": "ejected"},
    {"from": "serving", "event": "drains", "to": "draining"},
    {"from": "serving", "event": "restarts", "to": "starting"},
    {"from": "serving", "event": "unlisted", "to": "gone"},
    {"from": "ejected", "event": "ejection-over", "to": "trial"},
    {"from": "ejected", "event": "drains", "to": "draining"},
    {"from": "ejected", "event": "unlisted", "to": "gone"},
    {"from": "trial", "event": "trial-passed", "to": "warming"},
    {"from": "trial", "event": "failing", "to": "ejected"},
    {"from": "trial", "event": "drains", "to": "draining"},
    {"from": "trial", "event": "unlisted", "to": "gone"},
    // A drain that was reported by mistake ends when the endpoint serves again.
    {"from": "draining", "event": "serves", "to": "warming"},
    {"from": "draining", "event": "unlisted", "to": "gone"}
  ]
}
)chart";
}

}  // namespace damasktack
