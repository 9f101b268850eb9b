#include <doctest/doctest.h>
#include <httplib.h>

#include <chrono>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "standin/load_reporter.h"
#include "standin/standin_endpoint.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

StandinEndpointOptions FixedServiceTime(Duration time) {
  StandinEndpointOptions options;
  options.shape = ServiceTime{ServiceShape::kFixed, time};
  return options;
}

template <typename Condition>
void WaitFor(Condition condition) {
  while (!condition()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

std::future<httplib::Result> PostAsync(std::uint16_t port,
                                       httplib::Headers headers = {}) {
  return std::async(std::launch::async, [port, headers] {
    httplib::Client client("127.0.0.1", port);
    return client.Post("/a", headers, "", "text/plain");
  });
}

TEST_CASE("a full endpoint sheds calls and reports that they did not run") {
  StandinEndpointOptions options = FixedServiceTime(seconds(1));
  options.slots = 1;
  options.queue = 1;
  StandinEndpoint endpoint(options);
  const std::uint16_t port = endpoint.Start(0);
  auto running = PostAsync(port);
  WaitFor([&] { return endpoint.executions() == 1; });
  auto queued = PostAsync(port, {{"Damasktack-Deadline-Ms", "200"}});
  httplib::Client client("127.0.0.1", port);
  std::string load;
  WaitFor([&] {
    load = client.Get("/load")->get_header_value("Endpoint-Load");
    return load.find("queued=1") != std::string::npos;
  });
  CHECK(load == "in_flight=1, queued=1, slots=1, mode=serving");
  const auto shed = client.Post("/a");
  REQUIRE(shed);
  CHECK(shed->status == 503);
  CHECK(shed->has_header("Endpoint-Shed"));
  // The deadline of this call passes while it is queued.
  const auto expired = queued.get();
  REQUIRE(expired);
  CHECK(expired->has_header("Endpoint-Shed"));
  CHECK(running.get()->status == 200);
  CHECK(endpoint.executions() == 1);
}

TEST_CASE("a queued call whose connection closes is removed and never runs") {
  StandinEndpointOptions options = FixedServiceTime(seconds(1));
  options.slots = 1;
  StandinEndpoint endpoint(options);
  const std::uint16_t port = endpoint.Start(0);
  auto running = PostAsync(port);
  WaitFor([&] { return endpoint.executions() == 1; });
  {
    httplib::Client client("127.0.0.1", port);
    client.set_read_timeout(milliseconds(50));
    CHECK_FALSE(client.Post("/a"));
  }
  WaitFor([&] { return endpoint.counts().cancelled_queued == 1; });
  CHECK(running.get()->status == 200);
  CHECK(endpoint.executions() == 1);
}

TEST_CASE("a silent drain refuses connections and finishes running calls") {
  StandinEndpoint endpoint(FixedServiceTime(milliseconds(300)));
  const std::uint16_t port = endpoint.Start(0);
  auto running = PostAsync(port);
  WaitFor([&] { return endpoint.executions() == 1; });
  EndpointFaults faults;
  faults.drain = DrainMode::kSilent;
  endpoint.SetFaults(faults);
  httplib::Client client("127.0.0.1", port);
  WaitFor([&] { return !client.Get("/load"); });
  const auto answer = running.get();
  REQUIRE(answer);
  CHECK(answer->get_header_value("Connection") == "close");
  endpoint.SetFaults({});
  WaitFor([&] { return bool{client.Get("/load")}; });
}

TEST_CASE("each response fault runs the call or not, as documented") {
  struct Case {
    AnswerFault fault;
    std::uint64_t executions;
  };
  for (const Case& it :
       {Case{AnswerFault::kHalf, 1}, Case{AnswerFault::kClose, 1},
        Case{AnswerFault::kCloseUnrun, 0}, Case{AnswerFault::kNever, 1}}) {
    StandinEndpoint endpoint(FixedServiceTime(milliseconds(1)));
    EndpointFaults faults;
    faults.answer = it.fault;
    endpoint.SetFaults(faults);
    httplib::Client client("127.0.0.1", endpoint.Start(0));
    client.set_read_timeout(milliseconds(100));
    CHECK_FALSE(
        client.Post("/a", {{"Idempotency-Key", "k"}}, "", "text/plain"));
    CHECK(endpoint.ExecutionsOf("k") == it.executions);
  }
}

TEST_CASE("frozen and stale reports repeat an earlier load") {
  LoadReporter reporter;
  EndpointFaults faults;
  faults.report = ReportFault::kFrozen;
  const TimePoint now = Clock::now();
  const auto first = reporter.Report({1, 0, 6, "serving"}, faults, now);
  CHECK(reporter.Report({5, 3, 6, "serving"}, faults, now) == first);
  faults.report = ReportFault::kStale;
  faults.report_age = milliseconds(100);
  reporter.Observe({2, 0, 6, "serving"}, now);
  reporter.Observe({6, 9, 6, "serving"}, now + milliseconds(150));
  CHECK(
      *reporter.Report({6, 9, 6, "serving"}, faults, now + milliseconds(200)) ==
      "in_flight=2, queued=0, slots=6, mode=serving");
}

}  // namespace
}  // namespace damasktack
