#ifndef CORE_STATE_CHART_H_
#define CORE_STATE_CHART_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace damasktack {

// One arrow of a chart; the numbers index states() and events().
struct ChartTransition {
  std::size_t from = 0;
  std::size_t event = 0;
  std::size_t to = 0;

  bool operator==(const ChartTransition&) const = default;
};

// States, events and transitions read from a JSON file; code interprets them
// through BoundChart. A chart that exists is sound: every state can be
// reached, every event is used, no state and event have two targets, final
// states are never left and one of them can be reached from everywhere.
class StateChart {
 public:
  // `where` names the source in errors, which are of kind kInvalidChart
  // unless the text is no JSON of the expected form.
  static leaf::result<StateChart> Parse(std::string_view text,
                                        std::string_view where);

  const std::string& name() const { return name_; }
  const std::vector<std::string>& states() const { return states_; }
  const std::vector<std::string>& events() const { return events_; }
  const std::vector<ChartTransition>& transitions() const {
    return transitions_;
  }
  std::size_t initial() const { return initial_; }
  bool IsFinal(std::size_t state) const { return final_[state]; }

  // Null where the event means nothing in the state.
  std::optional<std::size_t> Next(std::size_t state, std::size_t event) const;

 private:
  StateChart() = default;

  std::string name_;
  std::vector<std::string> states_;
  std::vector<std::string> events_;
  std::vector<ChartTransition> transitions_;
  std::vector<bool> final_;
  std::size_t initial_ = 0;
};

}  // namespace damasktack

#endif  // CORE_STATE_CHART_H_
