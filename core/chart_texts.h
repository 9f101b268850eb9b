#ifndef CORE_CHART_TEXTS_H_
#define CORE_CHART_TEXTS_H_

// Written by misc/scripts/embed_charts.py; change charts/*.json instead.

#include <string_view>

namespace damasktack {

// The content of core/charts/host.json.
std::string_view HostChartText();

}  // namespace damasktack

#endif  // CORE_CHART_TEXTS_H_
