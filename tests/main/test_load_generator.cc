#include <doctest/doctest.h>

#include "main/load_generator.h"
#include "main/load_report.h"
#include "standin/standin_endpoint.h"
#include "tests/proxy/raw_peer.h"

namespace damasktack {
namespace {

LoadPlan MakePlan(std::uint16_t port) {
  LoadPlan plan;
  plan.duration = std::chrono::milliseconds(500);
  plan.entries.push_back({SocketAddress{"127.0.0.1", port}, std::nullopt});
  LoadClass load_class;
  load_class.name = "dock";
  load_class.method = "POST";
  load_class.path = "/dock/{n}";
  load_class.rate = 200;
  load_class.idempotency_keys = true;
  plan.classes.push_back(load_class);
  return plan;
}

// Guards against coordinated omission: the endpoint has one slot, takes 20 ms
// per call and gets four times the rate that it can serve. A generator that
// waited for each response before the next send would report 20 ms and hide the
// queue.
TEST_CASE("latency is measured from when a call was due, not from its send") {
  StandinEndpointOptions options;
  options.slots = 1;
  options.queue = 1000;
  options.shape =
      ServiceTime{ServiceShape::kFixed, std::chrono::milliseconds(20)};
  StandinEndpoint endpoint(options);
  LoadPlan plan = MakePlan(endpoint.Start(0));
  const LoadRecords records = LoadGenerator(plan).Run();
  Duration longest{};
  for (const LoadRecord& it : records) {
    longest = std::max(longest, it.latency);
  }
  CHECK(records.size() > 50);
  CHECK(endpoint.executions() == records.size());
  CHECK(longest > (records.size() / 2) * std::chrono::milliseconds(20));
}

TEST_CASE(
    "a refused connection is skipped and a truncated response is recorded") {
  StandinEndpoint endpoint(StandinEndpointOptions{});
  LoadPlan plan = MakePlan(endpoint.Start(0));
  StandinEndpoint stopped(StandinEndpointOptions{});
  const std::uint16_t refused = stopped.Start(0);
  EndpointFaults silent;
  silent.drain = DrainMode::kSilent;
  stopped.SetFaults(silent);
  plan.entries.push_back({SocketAddress{"127.0.0.1", refused}, std::nullopt});
  EndpointFaults half;
  half.answer = AnswerFault::kHalf;
  endpoint.SetFaults(half);
  const LoadRecords records = LoadGenerator(plan).Run();
  const auto report = ReportLoad(plan, records).front();
  CHECK(report.outcomes[static_cast<std::size_t>(LoadOutcome::kCut)] ==
        records.size());
}

// Guards against a status that is none, counted as an answer.
TEST_CASE("an answer whose status is none is recorded as cut") {
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadMessage();
    it.Send(
        "HTTP/1.1 000 X\r\nDamasktack-Outcome: complete\r\n"
        "Content-Length: 0\r\n\r\n");
    it.WaitForHangUp();
  });
  const LoadPlan plan = MakePlan(endpoint.port());
  const LoadRecords records = LoadGenerator(plan).Run();
  const auto report = ReportLoad(plan, records).front();
  CHECK(!records.empty());
  CHECK(report.outcomes[static_cast<std::size_t>(LoadOutcome::kCut)] ==
        records.size());
}

TEST_CASE("an error in a plan names its location") {
  const auto error_of = [](std::string_view text) {
    return Try(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_CHECK(ParseLoadPlan(text, "plan"));
          return std::string();
        },
        [](const Error& error) { return error.where; });
  };
  CHECK(error_of(R"({"classes": [], "entries": []})") == "classes");
  CHECK(error_of(R"({"classes": [{"name": "a", "key": "k", "path": "/",
                     "rate": 0}], "entries": []})") == "classes[0].rate");
}

}  // namespace
}  // namespace damasktack
