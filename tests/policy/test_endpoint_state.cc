#include "policy/endpoint_state.h"

#include <doctest/doctest.h>

#include "policy/chart_texts.h"
#include "tests/support/state_chart_check.h"

namespace damasktack {
namespace {

TEST_CASE("the endpoint's chart is the file's, transition by transition") {
  CheckAllTransitions("policy/charts/endpoint.json", EndpointChartText(),
                      GetEndpointChart());
}

}  // namespace
}  // namespace damasktack
