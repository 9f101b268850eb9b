#include "proxy/caller_server.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

bool AwaitNoConnections(CallerServer& server) {
  for (int n = 0; n < 10'000 && server.connections() > 0; ++n) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return server.connections() == 0;
}

RawEndpoint::Script AnswerAfter(milliseconds time) {
  return [time](RawConnection& it) {
    while (!it.ReadMessage().empty()) {
      std::this_thread::sleep_for(time);
      if (!it.Send(OkAnswer("ran"))) {
        return;
      }
    }
  };
}

TEST_CASE("a stop closes idle connections and finishes calls in flight") {
  const RawEndpoint endpoint(AnswerAfter(milliseconds(200)));
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  RawConnection idle = proxy.Connect();
  idle.Send(GetRequest("/a"));
  CHECK(HeaderOf(idle.ReadMessage(), "Connection").empty());
  RawConnection busy = proxy.Connect();
  busy.Send(PostRequest("cut"));
  while (proxy.state().calls_in_flight() == 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  proxy.server().BeginStopping();
  const std::string answer = busy.ReadToEnd();
  CHECK(BodyOf(answer) == "ran");
  CHECK(HeaderOf(answer, "Connection") == "close");
  const std::string last_answer = idle.ReadToEnd();
  CHECK(StatusOf(last_answer) == 408);
  CHECK(HeaderOf(last_answer, "Damasktack-Outcome") == "not-run");
  busy.Close();
  idle.Close();
  CHECK(AwaitNoConnections(proxy.server()));
}

TEST_CASE("requests that have arrived before a stop are all answered") {
  const RawEndpoint endpoint(AnswerAfter(milliseconds(50)));
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  RawConnection caller = proxy.Connect();
  caller.Send(PostRequest("1") + PostRequest("2") + PostRequest("3"));
  while (proxy.state().calls_in_flight() == 0) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  proxy.server().BeginStopping();
  CHECK(HeaderOf(caller.ReadMessage(), "Connection").empty());
  CHECK(HeaderOf(caller.ReadMessage(), "Connection").empty());
  CHECK(HeaderOf(caller.ReadMessage(), "Connection") == "close");
}

// Results of one caller. It uses the first host until that host closes the
// connection cleanly between two calls, and then the second host.
struct CallCounts {
  std::atomic<int> answered = 0;
  // Answered `not-run`: the call was in transit when the connection was closed.
  std::atomic<int> not_run = 0;
  // Sent without getting an answer.
  std::atomic<int> lost = 0;
};

void CallContinuously(std::uint16_t first,
                      std::uint16_t second,
                      const std::atomic<bool>& stop,
                      CallCounts& counts) {
  std::uint16_t port = first;
  while (!stop) {
    RawConnection connection = RawConnection::To(port);
    bool open = true;
    while (open && !stop) {
      connection.Send(PostRequest("cut"));
      const std::string answer = connection.ReadMessage();
      const std::string outcome = HeaderOf(answer, "Damasktack-Outcome");
      counts.answered += outcome == "complete" ? 1 : 0;
      counts.not_run += outcome == "not-run" ? 1 : 0;
      counts.lost += outcome != "complete" && outcome != "not-run" ? 1 : 0;
      open = HeaderOf(answer, "Connection") != "close";
    }
    port = second;
  }
}

// Sixteen callers send commands continuously while their host stops. Every
// command must be answered; the last answer of the stopping host closes the
// connection, and the caller continues at the other host.
TEST_CASE("a stop under continuous load aborts no call") {
  const RawEndpoint endpoint(AnswerAfter(milliseconds(2)));
  ProxyFixture stopping({.endpoint_ports = {endpoint.port()}});
  ProxyFixture staying({.endpoint_ports = {endpoint.port()}});
  std::atomic<bool> stop = false;
  CallCounts counts;
  std::vector<std::thread> callers;
  for (int n = 0; n < 16; ++n) {
    callers.emplace_back([&] {
      CallContinuously(stopping.server().port(), staying.server().port(), stop,
                       counts);
    });
  }
  while (counts.answered < 500) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  stopping.server().BeginStopping();
  CHECK(AwaitNoConnections(stopping.server()));
  CHECK(stopping.state().calls_in_flight() == 0);
  const int answered = counts.answered;
  while (counts.answered < answered + 500) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  stop = true;
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(counts.lost == 0);
  CHECK(counts.not_run == 0);
}

TEST_CASE("the metrics include connections, failures and probes") {
  const RawEndpoint endpoint(AnswerAfter(milliseconds(0)));
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  RawConnection caller = proxy.Connect();
  caller.Send(PostRequest("cut"));
  caller.ReadMessage();
  for (int n = 0; n < 3; ++n) {
    proxy.Ask("GET /dispatch HTTP/1.1\r\nHost: h\r\nDamasktack-Key: " +
              std::to_string(n) + "\r\n\r\n");
  }
  const std::string page = proxy.state().RenderMetrics(Clock::now());
  const auto has = [&](const std::string& line) {
    INFO(line);
    CHECK(page.find(line + "\n") != std::string::npos);
  };
  has("damasktack_failures_total{kind=\"unknown-customer\"} 3");
  has("damasktack_failures_total{kind=\"bad-request\"} 0");
  has("damasktack_calls_total{customer=\"keepers\",class=\"urgent\","
      "outcome=\"complete\"} 1");
  has("damasktack_calls_total{customer=\"unknown\",class=\"normal\","
      "outcome=\"not-run\"} 3");
  has("damasktack_probes_total{service=\"dispatch\"} 0");
  has("damasktack_stopping 0");
  CHECK(page.find("damasktack_caller_connections ") != std::string::npos);
}

}  // namespace
}  // namespace damasktack
