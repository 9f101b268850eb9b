#ifndef CORE_BOUND_CHART_H_
#define CORE_BOUND_CHART_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/state_chart.h"

namespace damasktack {

// Maps the enumerators of an enum to the names of a chart's states or events.
// Specialized next to the enum, in the order of the enumerators, which count
// from 0:
//   template <>
//   struct ChartNames<HostState> {
//     static constexpr std::array<std::string_view, 5> kNames = {
//         "starting", ...};
//   };
template <typename Enum>
struct ChartNames;

namespace detail {

// Checks that enum and chart define the same names, so that neither a renamed
// state nor a missing one goes unnoticed.
leaf::result<void> CheckSameNames(std::span<const std::string_view> in_code,
                                  std::span<const std::string> in_chart,
                                  std::string_view what,
                                  std::string_view chart);

}  // namespace detail

// A state chart bound to C++ enums. Transitions are stored in a table indexed
// by state and event, so that a lookup costs one load.
template <typename State, typename Event>
class BoundChart {
 public:
  static constexpr std::size_t kStates = ChartNames<State>::kNames.size();
  static constexpr std::size_t kEvents = ChartNames<Event>::kNames.size();

  // Binds the chart. Fails with kInvalidChart if chart and enums define
  // different names.
  static leaf::result<BoundChart> Bind(const StateChart& chart);

  // For charts that are embedded in the binary: prints the error to stderr and
  // ends the process if the chart is invalid, since no host could work without
  // it.
  static BoundChart BindOrExit(std::string_view text, std::string_view where);

  State initial() const { return initial_; }
  bool IsFinal(State state) const { return final_[Index(state)]; }

  // Returns the target state, or null if the state has no transition for the
  // event.
  std::optional<State> Next(State state, Event event) const {
    const std::int8_t next = next_[Index(state)][Index(event)];
    if (next == kNoTransition) {
      return std::nullopt;
    }
    return static_cast<State>(next);
  }

 private:
  static constexpr std::int8_t kNoTransition = -1;
  static_assert(kStates < 128, "the table holds states in 8 bits");

  template <typename Enum>
  static std::size_t Index(Enum value) {
    return static_cast<std::size_t>(value);
  }

  template <typename Enum>
  static std::size_t IndexOf(std::string_view name) {
    const auto& names = ChartNames<Enum>::kNames;
    return static_cast<std::size_t>(std::ranges::find(names, name) -
                                    names.begin());
  }

  std::array<std::array<std::int8_t, kEvents>, kStates> next_{};
  std::array<bool, kStates> final_{};
  State initial_{};
};

// Returns the name of a state or event in its chart.
template <typename Enum>
std::string_view ChartName(Enum value) {
  return ChartNames<Enum>::kNames[static_cast<std::size_t>(value)];
}

template <typename State, typename Event>
leaf::result<BoundChart<State, Event>> BoundChart<State, Event>::Bind(
    const StateChart& chart) {
  BOOST_LEAF_CHECK(detail::CheckSameNames(
      ChartNames<State>::kNames, chart.states(), "state", chart.name()));
  BOOST_LEAF_CHECK(detail::CheckSameNames(
      ChartNames<Event>::kNames, chart.events(), "event", chart.name()));
  BoundChart bound;
  for (auto& row : bound.next_) {
    row.fill(kNoTransition);
  }
  for (std::size_t n = 0; n < chart.states().size(); ++n) {
    bound.final_[IndexOf<State>(chart.states()[n])] = chart.IsFinal(n);
  }
  for (const ChartTransition& it : chart.transitions()) {
    const std::size_t from = IndexOf<State>(chart.states()[it.from]);
    const std::size_t event = IndexOf<Event>(chart.events()[it.event]);
    bound.next_[from][event] =
        static_cast<std::int8_t>(IndexOf<State>(chart.states()[it.to]));
  }
  bound.initial_ =
      static_cast<State>(IndexOf<State>(chart.states()[chart.initial()]));
  return bound;
}

template <typename State, typename Event>
BoundChart<State, Event> BoundChart<State, Event>::BindOrExit(
    std::string_view text,
    std::string_view where) {
  return Try(
      [&]() -> leaf::result<BoundChart> {
        BOOST_LEAF_AUTO(chart, StateChart::Parse(text, where));
        return Bind(chart);
      },
      [](const Error& error) -> BoundChart {
        std::cerr << error << "\n";
        std::exit(EXIT_FAILURE);
      });
}

}  // namespace damasktack

#endif  // CORE_BOUND_CHART_H_
