#include "proxy/endpoint_exchange.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

void WaitFor(const std::atomic<bool>& flag) {
  while (!flag) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

// Answers each request with its target; on the first connection sends one
// additional unsolicited answer a little later.
RawEndpoint::Script SendLateStray(std::atomic<bool>& stray_sent) {
  return [&stray_sent](RawConnection& it) {
    while (true) {
      const std::string request = it.ReadMessage();
      if (request.empty()) {
        return;
      }
      const std::size_t start = request.find(' ') + 1;
      it.Send(
          OkAnswer(request.substr(start, request.find(' ', start) - start)));
      if (!stray_sent) {
        std::this_thread::sleep_for(milliseconds(20));
        it.Send(OkAnswer("stray"));
        stray_sent = true;
      }
    }
  };
}

// An endpoint answers one request twice, the second time late. A client that
// keeps the connection would read the stray bytes as the answer to its next
// call. Only a connection without unread input may be used for a call.
TEST_CASE("a late stray answer never becomes the next call's answer") {
  std::atomic<bool> stray_sent = false;
  const RawEndpoint endpoint(SendLateStray(stray_sent));
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  RawConnection caller = proxy.Connect();
  caller.Send(GetRequest("/first"));
  CHECK(BodyOf(caller.ReadMessage()) == "/dispatch/first");
  WaitFor(stray_sent);
  for (int n = 0; n < 4; ++n) {
    caller.Send(GetRequest("/second"));
    CHECK(BodyOf(caller.ReadMessage()) == "/dispatch/second");
  }
  CHECK(endpoint.connections() == 2);
}

// The same endpoint with a keep-alive cpp-httplib client. Documents why that
// client is not used for connections to endpoints.
TEST_CASE("cpp-httplib's client hands a stray answer to the next call") {
  std::atomic<bool> stray_sent = false;
  const RawEndpoint endpoint(SendLateStray(stray_sent));
  httplib::Client client("127.0.0.1", endpoint.port());
  client.set_keep_alive(true);
  CHECK(client.Get("/first")->body == "/first");
  WaitFor(stray_sent);
  CHECK(client.Get("/second")->body == "stray");
}

// As above, but the stray answer arrives together with the requested one. It
// must not be used for the next call, and the connection must be closed.
TEST_CASE("bytes after the answer close the connection") {
  const RawEndpoint endpoint([](RawConnection& it) {
    while (!it.ReadMessage().empty()) {
      it.Send(OkAnswer("asked") + OkAnswer("stray"));
    }
  });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  RawConnection caller = proxy.Connect();
  for (int n = 1; n <= 3; ++n) {
    caller.Send(GetRequest("/a"));
    CHECK(BodyOf(caller.ReadMessage()) == "asked");
    CHECK(endpoint.connections() == n);
  }
}

// Guards against sending a call while the endpoint closes the connection.
TEST_CASE("a connection idles no longer than its endpoint's idle timeout") {
  const RawEndpoint endpoint([](RawConnection& it) {
    while (!it.ReadMessage().empty()) {
      it.Send(
          "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1, max=9\r\n"
          "Content-Length: 2\r\n\r\nok");
    }
  });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  RawConnection caller = proxy.Connect();
  const auto call = [&] {
    caller.Send(GetRequest("/a"));
    CHECK(BodyOf(caller.ReadMessage()) == "ok");
  };
  call();
  call();
  CHECK(endpoint.connections() == 1);
  std::this_thread::sleep_for(milliseconds(900));
  call();
  CHECK(endpoint.connections() == 2);
}

struct BadAnswer {
  const char* what;
  std::string bytes;
};

// Each answer is truncated or ambiguous. The endpoint may have run the command,
// so the caller must be told `unknown` and get none of the bytes, and the
// command must not be sent again.
TEST_CASE("an answer that may be incomplete is never passed on") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::vector<BadAnswer> answers = {
      {"nothing", ""},
      {"half a head", "HTTP/1.1 200 OK\r\nContent-Le"},
      {"half a body", ok + "Content-Length: 10\r\n\r\npart"},
      {"half a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n10\r\npart"},
      {"no last chunk", ok + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
      {"an end marked by the close", ok + "\r\npart"},
      {"two lengths",
       ok + "Content-Length: 4\r\nContent-Length: 6\r\n\r\npartly"},
      {"length and chunking", ok + "Content-Length: 4\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "4\r\npart\r\n0\r\n\r\n"},
      {"another coding",
       ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n"},
      {"a negative length", ok + "Content-Length: -4\r\n\r\npart"},
      {"a huge length", ok + "Content-Length: 99999999999\r\n\r\npart"},
      {"huge headers", ok + "X-A: " + std::string(100'000, 'a') + "\r\n"},
      {"another protocol", "part of something else\r\n\r\n"},
      {"a switch of protocols",
       "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\npart"},
      {"only interim answers", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
  for (const BadAnswer& bad : answers) {
    INFO(std::string(bad.what));
    std::atomic<int> seen = 0;
    const RawEndpoint endpoint([&](RawConnection& it) {
      // A connection without a request is a check whether the endpoint is
      // running.
      seen += it.ReadMessage().empty() ? 0 : 1;
      it.Send(bad.bytes);
    });
    ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
    const std::string answer = proxy.Ask(PostRequest("cut"));
    CHECK(StatusOf(answer) == 502);
    CHECK(HeaderOf(answer, "Damasktack-Outcome") == "unknown");
    CHECK(answer.find("part") == std::string::npos);
    CHECK(seen == 1);
  }
}

TEST_CASE("a reset after the request is unknown, never not-run") {
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadMessage();
    it.Reset();
  });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  const std::string answer = proxy.Ask(PostRequest("cut"));
  CHECK(StatusOf(answer) == 502);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "unknown");
}

TEST_CASE("interim answers are skipped") {
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadMessage();
    it.Send(
        "HTTP/1.1 100 Continue\r\n\r\n"
        "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
        OkAnswer("final"));
    it.WaitForHangUp();
  });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  const std::string answer = proxy.Ask(PostRequest("cut"));
  CHECK(StatusOf(answer) == 200);
  CHECK(BodyOf(answer) == "final");
}

// The endpoint answers after the head of a long request and stops reading. A
// client that first writes the whole request would block until the deadline and
// report a timeout although the answer has arrived. The endpoint must notice
// the close despite the bytes that it never read.
TEST_CASE("an answer before the end of a long request is passed on") {
  constexpr std::size_t kBody = 24U << 20U;
  std::atomic<bool> ended = false;
  std::atomic<bool> hung_up = false;
  const RawEndpoint endpoint([&](RawConnection& it) {
    it.ReadHead();
    it.Send("HTTP/1.1 413 Payload Too Large\r\nContent-Length: 4\r\n\r\nlong");
    hung_up = it.WaitForHangUp();
    ended = true;
  });
  ProxyOptions options = ProxyFixture::FastOptions();
  options.request_body_bytes = kBody;
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}, .options = options});
  const std::string answer = proxy.Ask(PostRequest(std::string(kBody, 'a')));
  CHECK(StatusOf(answer) == 413);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "complete");
  CHECK(BodyOf(answer) == "long");
  WaitFor(ended);
  CHECK(hung_up);
}

TEST_CASE("an endpoint that never answers is abandoned at the deadline") {
  const RawEndpoint endpoint([](RawConnection& it) { it.WaitForHangUp(); });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  const std::string answer =
      proxy.Ask(PostRequest("cut", "Damasktack-Deadline-Ms: 100\r\n"));
  CHECK(StatusOf(answer) == 504);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "unknown");
  CHECK(BodyOf(answer).find("\"kind\":\"timed-out\"") != std::string::npos);
}

TEST_CASE("a refused connection is not-run") {
  ProxyFixture proxy({.endpoint_ports = {ClosedPort()}});
  const std::string answer = proxy.Ask(PostRequest("cut"));
  CHECK(StatusOf(answer) == 503);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "not-run");
}

// The endpoint closes a keep-alive connection after its answer. A command sent
// on it would have an unknown outcome, so it must be sent on another
// connection.
TEST_CASE("an idle connection that the endpoint closed is not used") {
  std::atomic<bool> closed = false;
  const RawEndpoint endpoint([&](RawConnection& it) {
    it.ReadMessage();
    it.Send(OkAnswer("ran"));
    it.Close();
    closed = true;
  });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  RawConnection caller = proxy.Connect();
  for (int n = 1; n <= 3; ++n) {
    closed = false;
    caller.Send(PostRequest("cut"));
    CHECK(StatusOf(caller.ReadMessage()) == 200);
    WaitFor(closed);
  }
  CHECK(endpoint.connections() == 3);
}

// A draining endpoint reports this with its answer and then closes. The
// connection must not be kept, so that no later call is sent while it is
// closed.
TEST_CASE("no connection to a draining endpoint is kept") {
  std::atomic<bool> ended = false;
  std::atomic<bool> hung_up = false;
  const RawEndpoint endpoint([&](RawConnection& it) {
    it.ReadMessage();
    it.Send(OkAnswer("ran",
                     "Endpoint-Load: in_flight=0, queued=0, slots=6, "
                     "mode=draining\r\n"));
    hung_up = it.WaitForHangUp();
    ended = true;
  });
  ProxyOptions options = ProxyFixture::FastOptions();
  options.endpoint_idle = std::chrono::hours(1);
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}, .options = options});
  const std::string answer = proxy.Ask(PostRequest("cut"));
  CHECK(StatusOf(answer) == 200);
  CHECK(HeaderOf(answer, "Endpoint-Load").empty());
  WaitFor(ended);
  CHECK(hung_up);
}

// An endpoint confuses two calls on one connection. If the service's endpoints
// echo the call id, the wrong answer must be detected.
TEST_CASE("an answer that names another call is refused") {
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadMessage();
    it.Send(OkAnswer("other", "Damasktack-Call: other\r\n"));
    it.WaitForHangUp();
  });
  ProxyFixture proxy(
      {.endpoint_ports = {endpoint.port()}, .echoes_call = true});
  const std::string answer = proxy.Ask(PostRequest("cut"));
  CHECK(StatusOf(answer) == 502);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "unknown");
  CHECK(answer.find("other") == std::string::npos);
}

TEST_CASE("an answer that echoes the call's id is passed on") {
  const RawEndpoint endpoint([](RawConnection& it) {
    const std::string request = it.ReadMessage();
    it.Send(OkAnswer("ran", "Damasktack-Call: " +
                                HeaderOf(request, "Damasktack-Call") + "\r\n"));
    it.WaitForHangUp();
  });
  ProxyFixture proxy(
      {.endpoint_ports = {endpoint.port()}, .echoes_call = true});
  CHECK(BodyOf(proxy.Ask(PostRequest("cut"))) == "ran");
}

}  // namespace
}  // namespace damasktack
