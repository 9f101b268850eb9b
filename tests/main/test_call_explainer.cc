#include "main/call_explainer.h"

#include <doctest/doctest.h>

#include <sstream>

namespace damasktack {
namespace {

constexpr auto kFirstHost =
    "[2026-12-02 10:00:00.100] [damasktack] [info] event=started host=h1 "
    "zone=z1 callers=8080\n"
    "a line of something else\n"
    "[2026-12-02 10:00:01.000] [damasktack] [warning] event=store-lost "
    "revision=7 unreachable\n"
    "[2026-12-02 10:00:02.000] [damasktack] [info] event=endpoint-state "
    "endpoint=e1 from=serving to=ejected reason=\"errors\"\n"
    "[2026-12-02 10:00:02.100] [damasktack] [info] event=endpoint-state "
    "endpoint=e9 from=serving to=ejected reason=\"errors\"\n"
    "[2026-12-02 10:00:02.200] [damasktack] [info] event=cold-send call=c-1 "
    "endpoint=e1 cold_ms=900 word=probe word_age_ms=20 calls=1.0 slots=2\n"
    "[2026-12-02 10:00:02.300] [damasktack] [info] event=cold-send call=c-7 "
    "endpoint=e1 cold_ms=800 word=probe word_age_ms=120 calls=0.0 slots=2\n"
    "[2026-12-02 10:00:02.500] [damasktack] [info] event=call-ended call=c-1 "
    "customer=r service=s outcome=not-run status=0 failure=shed endpoint=e1 "
    "sends=1 total_ms=2 at_endpoints_ms=1 left_ms=398 expected_ms=160 "
    "report_age_ms=12 version=3 left_out=0\n"
    "[2026-12-02 10:00:03.000] [damasktack] [info] event=store-regained "
    "revision=9\n";

constexpr auto kSecondHost =
    "[2026-12-02 10:00:02.600] [damasktack] [info] event=call-ended call=c-1 "
    "customer=r service=s outcome=complete status=200 failure= endpoint=e2 "
    "sends=1 total_ms=700 at_endpoints_ms=690 left_ms=-300 expected_ms=160 "
    "report_age_ms=-1 version=3 left_out=0\n";

std::vector<LogLine> ReadBothLogs() {
  std::istringstream second(kSecondHost);
  std::istringstream first(kFirstHost);
  std::vector<LogLine> lines = ReadLog(second, "h2");
  for (const LogLine& it : ReadLog(first, "first")) {
    lines.push_back(it);
  }
  return lines;
}

TEST_CASE("a call is explained in chronological order over its hosts") {
  const CallExplanation found = ExplainCall("c-1", ReadBothLogs());
  REQUIRE(found.explanations.size() == 2);
  CHECK(found.explanations[0] ==
        "on h1: shed: no endpoint could have served it on time, or one refused "
        "it and the budget for repeats was spent; it did not run (2 ms in all, "
        "1 ms at endpoints; expected 160 ms by a report that was 12 ms old); "
        "sent 1 times, last to e1");
  CHECK(found.explanations[1] ==
        "on h2: the endpoint's own answer 200 (700 ms in all, 690 ms at "
        "endpoints); sent 1 times, last to e2; later than its objective");
}

TEST_CASE("only relevant events from before the call are shown") {
  const CallExplanation found = ExplainCall("c-1", ReadBothLogs());
  std::string events;
  for (const LogLine& it : found.prior_events) {
    events += it.event + " " + it.Value("endpoint") + ";";
  }
  CHECK(events == "started ;store-lost ;endpoint-state e1;cold-send e1;");
}

// Guards against relayed calls whose way cannot be followed over both hosts.
TEST_CASE("a relayed call is explained on the host that relays and the peer") {
  std::istringstream first(
      "[2026-12-02 10:00:02.000] [damasktack] [info] event=call-relayed "
      "call=c-1 service=s peer=h2 reason=unreachable unreachable_ms=900 "
      "left_out=0\n"
      "[2026-12-02 10:00:02.050] [damasktack] [info] event=call-relayed "
      "call=c-9 service=s peer=h2 reason=unreachable unreachable_ms=950 "
      "left_out=0\n");
  std::istringstream second(
      "[2026-12-02 10:00:02.001] [damasktack] [info] event=relay-taken "
      "call=c-1 from=h1 left_out=0\n");
  std::vector<LogLine> lines = ReadLog(first, "h1");
  for (const LogLine& it : ReadLog(second, "h2")) {
    lines.push_back(it);
  }
  const CallExplanation found = ExplainCall("c-1", std::move(lines));
  REQUIRE(found.explanations.size() == 2);
  CHECK(found.explanations[0] ==
        "on h1: offered to h2, because no endpoint of s had been reached for "
        "900 ms");
  CHECK(found.explanations[1] == "on h2: taken from h1, which relayed it");
  CHECK(found.prior_events.empty());
}

TEST_CASE("a call without a log line has no explanation") {
  CHECK(ExplainCall("c-2", ReadBothLogs()).calls.empty());
}

}  // namespace
}  // namespace damasktack
