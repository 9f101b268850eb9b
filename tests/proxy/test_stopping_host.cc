#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

// Answers each request after `takes` with `bytes` bytes, and counts them.
RawEndpoint::Script AnswerAfter(milliseconds takes,
                                std::atomic<int>& started,
                                std::size_t bytes = 3) {
  return [=, &started](RawConnection& it) {
    std::string request;
    while (!(request = it.ReadMessage()).empty()) {
      ++started;
      std::this_thread::sleep_for(takes);
      it.Send(OkAnswer(
          std::string(bytes, 'x'),
          "Damasktack-Call: " + HeaderOf(request, "Damasktack-Call") + "\r\n"));
    }
  };
}

std::string Request(std::string_view method,
                    std::string_view headers = "",
                    std::string_view version = "1.1") {
  const bool reads = method == "GET";
  return std::string(method) + (reads ? " /read/x" : " /write/x") + " HTTP/" +
         std::string(version) + "\r\nHost: a.example\r\n" +
         std::string(headers) + (reads ? "\r\n" : "Content-Length: 0\r\n\r\n");
}

// A host with one endpoint and routes of one timeout.
struct Setup {
  Setup(milliseconds timeout, milliseconds takes, std::size_t bytes = 3)
      : endpoint(AnswerAfter(takes, started, bytes)),
        proxy({.options = Options()}) {
    Route traits;
    traits.timeout = timeout;
    proxy.state().SetRouting(MakeReadWriteRoutes({endpoint.port()}, traits), 1,
                             Clock::now());
  }

  // Long request timeouts, so that only the stop can end a silent connection.
  static ProxyOptions Options() {
    ProxyOptions options = ProxyFixture::FastOptions();
    options.request_timeout = std::chrono::minutes(5);
    options.idle_timeout = std::chrono::minutes(5);
    return options;
  }

  void AnnounceStop(milliseconds end) {
    proxy.state().SetStopping();
    proxy.server().AnnounceStop(Clock::now() + end);
  }
  bool AwaitNoConnections() {
    for (int n = 0; n < 10'000 && proxy.server().connections() > 0; ++n) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    return proxy.server().connections() == 0;
  }

  std::atomic<int> started = 0;
  RawEndpoint endpoint;
  ProxyFixture proxy;
};

// Keeps three requests in flight on one connection until an answer closes it.
// Returns the number of answers to requests that ran; -1 if the connection
// ended in another way, or is still open after more answers than fit into a
// stop.
int CallUntilClosed(RawConnection caller, std::string_view method) {
  constexpr int kMaxAnswers = 400;
  for (int n = 0; n < 3; ++n) {
    caller.Send(Request(method));
  }
  int ran = 0;
  for (int n = 0; n < kMaxAnswers; ++n) {
    const std::string answer = caller.ReadMessage();
    if (StatusOf(answer) == 0) {
      return -1;
    }
    ran += HeaderOf(answer, "Damasktack-Outcome") == "not-run" ? 0 : 1;
    if (HeaderOf(answer, "Connection") == "close") {
      return ran;
    }
    caller.Send(Request(method));
  }
  return -1;
}

// Guards against a caller that pipelines and thereby keeps its connection until
// the stop ends, when the request in progress is cut off.
TEST_CASE(
    "a pipelining caller is closed after the last request that was read") {
  for (const char* method : {"GET", "POST"}) {
    CAPTURE(std::string(method));
    Setup setup(milliseconds(400), milliseconds(30));
    std::vector<std::thread> callers;
    std::atomic<int> ran = 0;
    std::atomic<bool> clean = true;
    for (int n = 0; n < 4; ++n) {
      callers.emplace_back([&] {
        const int count = CallUntilClosed(setup.proxy.Connect(), method);
        clean = clean && count >= 0;
        ran += std::max(count, 0);
      });
    }
    while (setup.started < 8) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    setup.AnnounceStop(milliseconds(1200));
    for (std::thread& it : callers) {
      it.join();
    }
    CHECK(clean);
    CHECK(ran == setup.started);
    CHECK(setup.AwaitNoConnections());
  }
}

// Guards against connections without an answer that could close them, and
// against answers that nobody reads, which last until the stop ends.
TEST_CASE("connections without progress are closed before the stop ends") {
  constexpr std::size_t kBodyBytes = 4U << 20U;
  Setup setup(std::chrono::seconds(30), milliseconds(0), kBodyBytes);
  RawConnection unused = setup.proxy.Connect();
  RawConnection idle = setup.proxy.Connect();
  idle.Send(Request("GET"));
  CHECK(StatusOf(idle.ReadMessage()) == 200);
  RawConnection kept_1_0 = setup.proxy.Connect();
  kept_1_0.Send(Request("GET", "Connection: keep-alive\r\n", "1.0"));
  CHECK(StatusOf(kept_1_0.ReadMessage()) == 200);
  RawConnection half_head = setup.proxy.Connect();
  half_head.Send("GET /read/x HTTP/1.1\r\nHost:");
  RawConnection half_body = setup.proxy.Connect();
  half_body.Send(
      "POST /write/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 9\r\n\r\n");
  RawConnection never_reads = setup.proxy.Connect();
  for (int n = 0; n < 6; ++n) {
    never_reads.Send(Request("GET"));
  }
  while (setup.started < 8) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  setup.AnnounceStop(milliseconds(1000));
  CHECK(setup.AwaitNoConnections());
  CHECK(setup.proxy.state().calls_in_flight() == 0);
}

// Guards against a call that is accepted although its endpoint may still run it
// when the stop ends.
TEST_CASE("a request that may not be finished in time is refused as not run") {
  Setup setup(std::chrono::seconds(30), milliseconds(0));
  setup.AnnounceStop(std::chrono::seconds(20));
  for (const char* method : {"GET", "POST"}) {
    CAPTURE(std::string(method));
    const std::string refused = setup.proxy.Ask(Request(method));
    CHECK(StatusOf(refused) == 503);
    CHECK(BodyOf(refused).find("stopping") != std::string::npos);
    CHECK(HeaderOf(refused, "Damasktack-Outcome") == "not-run");
    CHECK(HeaderOf(refused, "Connection") == "close");
  }
  CHECK(setup.started == 0);
  const std::string served =
      setup.proxy.Ask(Request("POST", "Damasktack-Deadline-Ms: 10000\r\n"));
  CHECK(StatusOf(served) == 200);
  CHECK(setup.started == 1);
}

}  // namespace
}  // namespace damasktack
