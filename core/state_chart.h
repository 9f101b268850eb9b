#ifndef CORE_STATE_CHART_H_
#define CORE_STATE_CHART_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace damasktack {

// One transition of a chart; the members are indexes into states() and
// events().
struct ChartTransition {
  std::size_t from = 0;
  std::size_t event = 0;
  std::size_t to = 0;

  bool operator==(const ChartTransition&) const = default;
};

// A finite state machine that was read from a JSON file; code uses it through
// BoundChart. Every StateChart is valid: every state is reachable, every event
// is used, each state has at most one transition per event, final states have
// no outgoing transitions and a final state can be reached from every state.
class StateChart {
 public:
  // Parses and validates a chart. `where` names the source in errors. Errors
  // are of kind kInvalidChart unless the text is not JSON of the expected
  // structure.
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

  // Returns the target state, or null if the state has no transition for the
  // event.
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
