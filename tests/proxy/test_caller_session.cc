#include "proxy/caller_session.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>

#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

// Echoes the body of each request and counts the requests.
RawEndpoint::Script Echo(std::atomic<int>& seen) {
  return [&seen](RawConnection& it) {
    while (true) {
      const std::string request = it.ReadMessage();
      if (request.empty()) {
        return;
      }
      ++seen;
      it.Send(OkAnswer(BodyOf(request)));
    }
  };
}

struct EchoFixture {
  explicit EchoFixture(ProxyOptions options = ProxyFixture::FastOptions())
      : endpoint(Echo(seen)),
        proxy({.endpoint_ports = {endpoint.port()}, .options = options}) {}

  std::atomic<int> seen = 0;
  RawEndpoint endpoint;
  ProxyFixture proxy;
};

// A caller that sends a few bytes and then stops occupies a connection and its
// buffers. After request_timeout it must get a 408, the connection must be
// closed, and nothing may reach an endpoint.
TEST_CASE("a slow sender is disconnected with 408 and not-run") {
  ProxyOptions options = ProxyFixture::FastOptions();
  options.request_timeout = milliseconds(100);
  EchoFixture it(options);
  const std::string whole = PostRequest("hello");
  for (const std::size_t part : {std::size_t{5}, whole.size() - 2}) {
    RawConnection caller = it.proxy.Connect();
    caller.Send(whole.substr(0, part));
    const std::string answer = caller.ReadToEnd();
    CHECK(StatusOf(answer) == 408);
    CHECK(HeaderOf(answer, "Damasktack-Outcome") == "not-run");
  }
  CHECK(it.seen == 0);
}

// A request may be in transit while an idle connection is closed. A plain close
// would leave its caller with an unknown outcome; the 408 before the close
// tells the caller that the request did not run.
TEST_CASE("an idle connection ends with a 408 that says not-run") {
  ProxyOptions options = ProxyFixture::FastOptions();
  options.idle_timeout = milliseconds(100);
  EchoFixture it(options);
  RawConnection caller = it.proxy.Connect();
  caller.Send(PostRequest("hello"));
  CHECK(StatusOf(caller.ReadMessage()) == 200);
  const std::string last_answer = caller.ReadToEnd();
  CHECK(StatusOf(last_answer) == 408);
  CHECK(HeaderOf(last_answer, "Damasktack-Outcome") == "not-run");
  CHECK(HeaderOf(last_answer, "Connection") == "close");
}

TEST_CASE("a connection over the limit gets 503, the others continue") {
  ProxyOptions options = ProxyFixture::FastOptions();
  options.connections = 2;
  EchoFixture it(options);
  RawConnection first = it.proxy.Connect();
  RawConnection second = it.proxy.Connect();
  for (RawConnection* caller : {&first, &second}) {
    caller->Send(PostRequest("hello"));
    CHECK(StatusOf(caller->ReadMessage()) == 200);
  }
  const std::string answer = it.proxy.Connect().ReadToEnd();
  CHECK(StatusOf(answer) == 503);
  CHECK(HeaderOf(answer, "Retry-After") == "1");
  CHECK(answer.find("too-many-connections") != std::string::npos);
  first.Send(PostRequest("again"));
  CHECK(BodyOf(first.ReadMessage()) == "again");
}

TEST_CASE("an incomplete request reaches no endpoint") {
  EchoFixture it;
  RawConnection caller = it.proxy.Connect();
  caller.Send(
      "POST /dispatch/cut HTTP/1.1\r\nHost: h\r\nDamasktack-Key: key\r\n"
      "Content-Length: 10\r\n\r\nhello");
  caller.FinishSending();
  CHECK(caller.ReadToEnd().empty());
  RawConnection chunked = it.proxy.Connect();
  chunked.Send(
      "POST /dispatch/cut HTTP/1.1\r\nHost: h\r\nDamasktack-Key: key\r\n"
      "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n");
  chunked.FinishSending();
  CHECK(chunked.ReadToEnd().empty());
  CHECK(it.seen == 0);
}

TEST_CASE("pipelined requests are answered in their order") {
  EchoFixture it;
  RawConnection caller = it.proxy.Connect();
  caller.Send(PostRequest("one") + PostRequest("two") + PostRequest("three"));
  CHECK(BodyOf(caller.ReadMessage()) == "one");
  CHECK(BodyOf(caller.ReadMessage()) == "two");
  CHECK(BodyOf(caller.ReadMessage()) == "three");
}

TEST_CASE("a caller that expects 100-continue is asked for its body") {
  EchoFixture it;
  RawConnection caller = it.proxy.Connect();
  const std::string whole = PostRequest("hello", "Expect: 100-continue\r\n");
  caller.Send(whole.substr(0, whole.size() - 5));
  CHECK(StatusOf(caller.ReadMessage()) == 100);
  caller.Send("hello");
  CHECK(BodyOf(caller.ReadMessage()) == "hello");
}

TEST_CASE("a chunked body reaches the endpoint completely") {
  EchoFixture it;
  const std::string answer = it.proxy.Ask(
      "POST /dispatch/cut HTTP/1.1\r\nHost: h\r\nDamasktack-Key: key\r\n"
      "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n there\r\n"
      "0\r\n\r\n");
  CHECK(BodyOf(answer) == "hello there");
}

TEST_CASE("HTTP/1.0 without Host is served once") {
  EchoFixture it;
  RawConnection caller = it.proxy.Connect();
  caller.Send("GET /dispatch/a HTTP/1.0\r\nDamasktack-Key: key\r\n\r\n");
  const std::string answer = caller.ReadToEnd();
  CHECK(StatusOf(answer) == 200);
  CHECK(HeaderOf(answer, "Connection") == "close");
}

TEST_CASE("an answer to HEAD has the full length and no body") {
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadMessage();
    it.Send("HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n");
    it.WaitForHangUp();
  });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  RawConnection caller = proxy.Connect();
  caller.Send(
      "HEAD /dispatch/a HTTP/1.1\r\nHost: h\r\nDamasktack-Key: key\r\n"
      "Connection: close\r\n\r\n");
  const std::string answer = caller.ReadToEnd();
  CHECK(StatusOf(answer) == 200);
  CHECK(HeaderOf(answer, "Content-Length") == "1234");
  CHECK(BodyOf(answer).empty());
}

TEST_CASE("an answer without content has no length") {
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadMessage();
    it.Send("HTTP/1.1 204 No Content\r\n\r\n");
    it.WaitForHangUp();
  });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  RawConnection caller = proxy.Connect();
  caller.Send(PostRequest("a", "Connection: close\r\n"));
  const std::string answer = caller.ReadToEnd();
  CHECK(StatusOf(answer) == 204);
  CHECK(answer.find("Content-Length") == std::string::npos);
}

// The caller closes the connection while the endpoint handles its call. The
// connection to the endpoint must be closed at once, which cancels the call and
// frees the endpoint's slot, also if the caller has already sent its next
// request.
TEST_CASE("a caller that disconnects cancels its call at the endpoint") {
  for (const bool pipelined : {false, true}) {
    CAPTURE(pipelined);
    std::atomic<bool> started = false;
    std::atomic<bool> cancelled = false;
    RawEndpoint endpoint([&](RawConnection& it) {
      it.ReadMessage();
      started = true;
      cancelled = it.WaitForHangUp();
    });
    ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
    RawConnection caller = proxy.Connect();
    caller.Send(PostRequest("cut"));
    while (!started) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    if (pipelined) {
      caller.Send(PostRequest("next"));
      std::this_thread::sleep_for(milliseconds(10));
    }
    caller.Close();
    for (int n = 0; n < 5000 && !cancelled; ++n) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    CHECK(cancelled);
  }
}

// A gate whose check throws, as a fault inside the handling of a call would.
class ThrowingLimitGate : public OpenLimitGate {
 public:
  Verdict Enter(const Contract& /*contract*/, TimePoint /*now*/) override {
    throw std::runtime_error("fault");
  }
};

// Guards against a connection that is counted forever because the answer to its
// request never comes after an exception.
TEST_CASE("a call that ends with an exception is answered with 500") {
  ThrowingLimitGate gate;
  ProxyFixture proxy({.endpoint_ports = {ClosedPort()}, .limits = &gate});
  RawConnection caller = proxy.Connect();
  caller.Send(PostRequest("cut"));
  const std::string answer = caller.ReadMessage();
  CHECK(StatusOf(answer) == 500);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "unknown");
  CHECK(proxy.state().calls_in_flight() == 0);
  caller.Close();
  for (int n = 0; n < 5000 && proxy.server().connections() > 0; ++n) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(proxy.server().connections() == 0);
}

}  // namespace
}  // namespace damasktack
