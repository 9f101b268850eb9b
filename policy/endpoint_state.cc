#include "policy/endpoint_state.h"

#include "policy/chart_texts.h"

namespace damasktack {

const EndpointChart& GetEndpointChart() {
  static const EndpointChart chart = EndpointChart::BindOrExit(
      EndpointChartText(), "policy/charts/endpoint.json");
  return chart;
}

}  // namespace damasktack
