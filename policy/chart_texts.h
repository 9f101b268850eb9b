#ifndef POLICY_CHART_TEXTS_H_
#define POLICY_CHART_TEXTS_H_

// Written by misc/scripts/embed_charts.py; change charts/*.json instead.

#include <string_view>

namespace damasktack {

// The content of policy/charts/call.json.
std::string_view CallChartText();
// The content of policy/charts/endpoint.json.
std::string_view EndpointChartText();

}  // namespace damasktack

#endif  // POLICY_CHART_TEXTS_H_
