#include <doctest/doctest.h>

#include "core/bound_chart.h"
#include "core/state_chart.h"

namespace damasktack {

enum class DoorState : std::uint8_t { kOpen, kShut };
enum class DoorEvent : std::uint8_t { kClose };

template <>
struct ChartNames<DoorState> {
  static constexpr std::array<std::string_view, 2> kNames = {"open", "shut"};
};
template <>
struct ChartNames<DoorEvent> {
  static constexpr std::array<std::string_view, 1> kNames = {"close"};
};

namespace {

// Returns a chart with the states a, b and c and the given final states, events
// and transitions.
std::string Chart(const std::string& final,
                  const std::string& events,
                  const std::string& transitions) {
  return R"({"name": "x", "initial": "a", "states": ["a", "b", "c"],)"
         R"( "final": [)" +
         final + R"(], "events": [)" + events + R"(], "transitions": [)" +
         transitions + "]}";
}

Error ErrorOf(const std::string& text) {
  return Try(
      [&]() -> leaf::result<Error> {
        BOOST_LEAF_CHECK(StateChart::Parse(text, "x.json"));
        return Error{};
      },
      [](const Error& error) { return error; });
}

void CheckInvalid(const std::string& text, const std::string& found) {
  const Error error = ErrorOf(text);
  CHECK(error.kind == ErrorKind::kInvalidChart);
  CHECK_MESSAGE(error.found.find(found) != std::string::npos, error);
  CHECK(error.remedy != "");
}

const std::string kAToB = R"({"from": "a", "event": "go", "to": "b"},)";
const std::string kBToC = R"({"from": "b", "event": "go", "to": "c"})";

TEST_CASE("a valid chart is parsed") {
  CHECK(ErrorOf(Chart(R"("c")", R"("go")", kAToB + kBToC)) == Error{});
}

TEST_CASE("each invalid chart is rejected and the error names its fault") {
  CheckInvalid(Chart(R"("c", "b")", R"("go")",
                     R"({"from": "a", "event": "go", "to": "c"})"),
               "\"b\", which no transition reaches");
  CheckInvalid(Chart(R"("c")", R"("go", "stop")", kAToB + kBToC),
               "event \"stop\" without a target");
  CheckInvalid(
      Chart(R"("c")", R"("go")", kAToB + R"({"from": "b", "event": "go"})"),
      "event \"go\" without a target in state \"b\"");
  CheckInvalid(Chart(R"("c")", R"("go")",
                     kAToB + R"({"from": "b", "event": "go", "to": "d"})"),
               "\"d\", which is not among states");
  CheckInvalid(Chart(R"("c")", R"("go")", kAToB + kAToB + kBToC),
               "a second transition from \"a\"");
  CheckInvalid(Chart("", R"("go")", kAToB + kBToC),
               "from which no final state is reached");
  CheckInvalid(
      Chart(R"("c")", R"("go")",
            kAToB + kBToC + R"(,{"from": "c", "event": "go", "to": "a"})"),
      "leaves a final state");
  CheckInvalid(Chart(R"("c")", R"("go", "go")", kAToB + kBToC),
               "\"go\" twice among events");
}

TEST_CASE("a chart whose states differ from the enum is not bound") {
  const auto bind = [](const std::string& text) {
    return Try(
        [&]() -> leaf::result<Error> {
          BOOST_LEAF_AUTO(chart, StateChart::Parse(text, "door.json"));
          using DoorChart = BoundChart<DoorState, DoorEvent>;
          BOOST_LEAF_AUTO(bound, DoorChart::Bind(chart));
          CHECK(bound.Next(DoorState::kOpen, DoorEvent::kClose) ==
                DoorState::kShut);
          CHECK_FALSE(
              bound.Next(DoorState::kShut, DoorEvent::kClose).has_value());
          CHECK(bound.IsFinal(DoorState::kShut));
          return Error{};
        },
        [](const Error& error) { return error; });
  };
  const std::string head = R"({"name": "door", "initial": "open",)";
  const std::string door = head + R"("states": ["shut", "open"],
      "final": ["shut"], "events": ["close"],
      "transitions": [{"from": "open", "event": "close", "to": "shut"}]})";
  CHECK(bind(door) == Error{});
  const std::string ajar = head + R"("states": ["open", "ajar"],
      "final": ["ajar"], "events": ["close"],
      "transitions": [{"from": "open", "event": "close", "to": "ajar"}]})";
  CHECK(bind(ajar).kind == ErrorKind::kInvalidChart);
}

}  // namespace
}  // namespace damasktack
