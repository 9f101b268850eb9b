#include <doctest/doctest.h>

#include "core/chart_texts.h"
#include "core/host_state.h"
#include "tests/support/state_chart_check.h"

namespace damasktack {
namespace {

TEST_CASE("the host's bound chart has exactly the transitions of its file") {
  CheckAllTransitions("core/charts/host.json", HostChartText(), GetHostChart());
  CHECK(GetHostChart().initial() == HostState::kStarting);
  CHECK(GetHostChart().IsFinal(HostState::kStopped));
}

}  // namespace
}  // namespace damasktack
