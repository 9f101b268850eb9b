#include "core/state_chart.h"

#include <algorithm>
#include <utility>

#include "core/json_reader.h"

namespace damasktack {

namespace {

// A transition as written in the file, before its names are resolved.
struct NamedTransition {
  std::string from;
  std::string event;
  std::string to;
};

struct ChartText {
  std::string name;
  std::string initial;
  std::vector<std::string> final;
  std::vector<std::string> states;
  std::vector<std::string> events;
  std::vector<NamedTransition> transitions;
};

leaf::error_id InvalidChart(std::string_view where,
                            std::string found,
                            std::string remedy) {
  return Fail(ErrorKind::kInvalidChart, std::string(where), std::move(found),
              std::move(remedy));
}

std::string Describe(const NamedTransition& transition) {
  return "transition from \"" + transition.from + "\" on \"" +
         transition.event + "\" to \"" + transition.to + "\"";
}

NamedTransition ReadTransition(const Json& json,
                               const std::string& path,
                               JsonReader& parent) {
  NamedTransition transition;
  JsonReader reader(json, path);
  reader.Read("from", transition.from);
  reader.Read("event", transition.event);
  // Checked in Resolve, so that the error names the event and the state without
  // a target.
  reader.ReadOptional("to", transition.to);
  Try([&] { return reader.Finish(); },
      [&](const Error& error) { parent.Adopt(error); });
  return transition;
}

leaf::result<ChartText> ReadText(std::string_view text,
                                 std::string_view where) {
  BOOST_LEAF_AUTO(json, ParseJson(text, where));
  ChartText chart;
  JsonReader reader(json, std::string(where));
  reader.Read("name", chart.name);
  reader.Read("initial", chart.initial);
  reader.ReadOptional("final", chart.final);
  reader.ReadOptional("states", chart.states);
  reader.ReadOptional("events", chart.events);
  if (const Json* transitions = reader.Array("transitions")) {
    for (std::size_t n = 0; n < transitions->size(); ++n) {
      const std::string path =
          reader.PathOf("transitions") + "[" + std::to_string(n) + "]";
      chart.transitions.push_back(
          ReadTransition((*transitions)[n], path, reader));
    }
  }
  BOOST_LEAF_CHECK(reader.Finish());
  return chart;
}

leaf::result<std::size_t> IndexOf(const std::vector<std::string>& names,
                                  const std::string& name,
                                  std::string_view list,
                                  std::string_view where) {
  const auto it = std::ranges::find(names, name);
  if (it == names.end()) {
    return InvalidChart(
        where, "\"" + name + "\", which is not among " + std::string(list),
        "add it to " + std::string(list) + " or correct the name");
  }
  return static_cast<std::size_t>(it - names.begin());
}

leaf::result<void> CheckUnique(const std::vector<std::string>& names,
                               std::string_view list,
                               std::string_view where) {
  for (auto it = names.begin(); it != names.end(); ++it) {
    if (std::find(names.begin(), it, *it) != it) {
      return InvalidChart(where,
                          "\"" + *it + "\" twice among " + std::string(list),
                          "name it once");
    }
  }
  return {};
}

leaf::result<ChartTransition> Resolve(const ChartText& text,
                                      const NamedTransition& named,
                                      std::string_view where) {
  if (named.to.empty()) {
    return InvalidChart(where,
                        "event \"" + named.event +
                            "\" without a target in state \"" + named.from +
                            "\"",
                        "give the transition a state in \"to\"");
  }
  ChartTransition transition;
  BOOST_LEAF_ASSIGN(transition.from,
                    IndexOf(text.states, named.from, "states", where));
  BOOST_LEAF_ASSIGN(transition.event,
                    IndexOf(text.events, named.event, "events", where));
  BOOST_LEAF_ASSIGN(transition.to,
                    IndexOf(text.states, named.to, "states", where));
  return transition;
}

leaf::result<void> CheckEventsUsed(const StateChart& chart,
                                   std::string_view where) {
  for (std::size_t n = 0; n < chart.events().size(); ++n) {
    const bool used = std::ranges::any_of(
        chart.transitions(),
        [&](const ChartTransition& it) { return it.event == n; });
    if (!used) {
      return InvalidChart(
          where, "event \"" + chart.events()[n] + "\" without a target",
          "add a transition for it or remove the event");
    }
  }
  return {};
}

// Marks all states that can be reached from the marked ones by following
// transitions from `tail` to `head`.
void MarkReachable(const std::vector<ChartTransition>& transitions,
                   std::size_t ChartTransition::*tail,
                   std::size_t ChartTransition::*head,
                   std::vector<bool>& marked) {
  bool changed = true;
  while (changed) {
    changed = false;
    for (const ChartTransition& it : transitions) {
      if (marked[it.*tail] && !marked[it.*head]) {
        marked[it.*head] = true;
        changed = true;
      }
    }
  }
}

leaf::result<void> CheckReachable(const StateChart& chart,
                                  std::string_view where) {
  std::vector<bool> reached(chart.states().size());
  reached[chart.initial()] = true;
  MarkReachable(chart.transitions(), &ChartTransition::from,
                &ChartTransition::to, reached);
  std::vector<bool> reaches_final(chart.states().size());
  for (std::size_t n = 0; n < reaches_final.size(); ++n) {
    reaches_final[n] = chart.IsFinal(n);
  }
  MarkReachable(chart.transitions(), &ChartTransition::to,
                &ChartTransition::from, reaches_final);
  for (std::size_t n = 0; n < reached.size(); ++n) {
    if (!reached[n]) {
      return InvalidChart(
          where,
          "state \"" + chart.states()[n] + "\", which no transition reaches",
          "add a transition to it or remove the state");
    }
    if (!reaches_final[n]) {
      return InvalidChart(
          where,
          "state \"" + chart.states()[n] +
              "\", from which no final state is reached",
          "add a transition towards a final state or list it in \"final\"");
    }
  }
  return {};
}

}  // namespace

leaf::result<StateChart> StateChart::Parse(std::string_view text,
                                           std::string_view where) {
  BOOST_LEAF_AUTO(parsed, ReadText(text, where));
  BOOST_LEAF_CHECK(CheckUnique(parsed.states, "states", where));
  BOOST_LEAF_CHECK(CheckUnique(parsed.events, "events", where));
  StateChart chart;
  chart.name_ = parsed.name;
  chart.states_ = parsed.states;
  chart.events_ = parsed.events;
  BOOST_LEAF_ASSIGN(chart.initial_,
                    IndexOf(parsed.states, parsed.initial, "states", where));
  chart.final_.resize(parsed.states.size());
  for (const std::string& name : parsed.final) {
    BOOST_LEAF_AUTO(state, IndexOf(parsed.states, name, "states", where));
    chart.final_[state] = true;
  }
  for (const NamedTransition& named : parsed.transitions) {
    BOOST_LEAF_AUTO(transition, Resolve(parsed, named, where));
    if (chart.Next(transition.from, transition.event)) {
      return InvalidChart(where, "a second " + Describe(named),
                          "keep one target for each state and event");
    }
    if (chart.final_[transition.from]) {
      return InvalidChart(where, Describe(named) + " leaves a final state",
                          "remove the transition or take the state out of "
                          "\"final\"");
    }
    chart.transitions_.push_back(transition);
  }
  BOOST_LEAF_CHECK(CheckEventsUsed(chart, where));
  BOOST_LEAF_CHECK(CheckReachable(chart, where));
  return chart;
}

std::optional<std::size_t> StateChart::Next(std::size_t state,
                                            std::size_t event) const {
  const auto it = std::ranges::find_if(
      transitions_, [&](const ChartTransition& transition) {
        return transition.from == state && transition.event == event;
      });
  if (it == transitions_.end()) {
    return std::nullopt;
  }
  return it->to;
}

}  // namespace damasktack
