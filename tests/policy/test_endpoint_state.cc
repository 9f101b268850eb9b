#include "policy/endpoint_state.h"

#include <doctest/doctest.h>

#include "policy/chart_texts.h"
#include "tests/support/chart_walk.h"

namespace damasktack {
namespace {

TEST_CASE("the endpoint chart allows exactly the transitions of its file") {
  WalkChart("policy/charts/endpoint.json", EndpointChartText(),
            GetEndpointChart());
}

}  // namespace
}  // namespace damasktack
