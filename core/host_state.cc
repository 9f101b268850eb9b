#include "core/host_state.h"

#include "core/chart_texts.h"

namespace damasktack {

const HostChart& GetHostChart() {
  static const HostChart chart =
      HostChart::BindOrExit(HostChartText(), "core/charts/host.json");
  return chart;
}

}  // namespace damasktack
