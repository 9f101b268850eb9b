#ifndef TESTS_SUPPORT_STATE_CHART_CHECK_H_
#define TESTS_SUPPORT_STATE_CHART_CHECK_H_

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "core/bound_chart.h"

namespace damasktack {

inline std::string ReadSourceFile(const std::string& path) {
  std::ifstream file(std::string(DAMASKTACK_SOURCE_DIR) + "/" + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Checks the chart file at `path` against the embedded text and the bound
// chart: the texts must be equal, and for every pair of state and event both
// must have the same transition or none.
template <typename State, typename Event>
void CheckAllTransitions(const std::string& path,
                         std::string_view embedded,
                         const BoundChart<State, Event>& bound) {
  const std::string text = ReadSourceFile(path);
  REQUIRE_MESSAGE(text == embedded, "run misc/scripts/embed_charts.py");
  Try(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(chart, StateChart::Parse(text, path));
        std::size_t checked = 0;
        for (std::size_t from = 0; from < BoundChart<State, Event>::kStates;
             ++from) {
          for (std::size_t event = 0; event < BoundChart<State, Event>::kEvents;
               ++event) {
            const auto next =
                bound.Next(static_cast<State>(from), static_cast<Event>(event));
            bool listed = false;
            for (const ChartTransition& it : chart.transitions()) {
              if (chart.states()[it.from] !=
                      ChartName(static_cast<State>(from)) ||
                  chart.events()[it.event] !=
                      ChartName(static_cast<Event>(event))) {
                continue;
              }
              listed = true;
              REQUIRE(next);
              CHECK(ChartName(*next) == chart.states()[it.to]);
              ++checked;
            }
            CHECK(next.has_value() == listed);
          }
        }
        CHECK(checked == chart.transitions().size());
        return {};
      },
      [](const Error& error) { FAIL(ToString(error)); });
}

}  // namespace damasktack

#endif  // TESTS_SUPPORT_STATE_CHART_CHECK_H_
