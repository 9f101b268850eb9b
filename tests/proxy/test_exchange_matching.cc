#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

#include "exchange_fixture.h"
#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

std::string NamedAnswer(const std::string& call, const std::string& body) {
  return OkAnswer(body, std::string(kCallIdName) + ": " + call + "\r\n");
}

std::string Shed(const std::string& call = "") {
  const std::string id =
      call.empty() ? "" : kCallIdName + (": " + call + "\r\n");
  return "HTTP/1.1 503 Service Unavailable\r\nX-Damasktack-Not-Executed: "
         "1\r\n" +
         id + "Content-Length: 0\r\n\r\n";
}

using Kind = ExchangeFixture::Kind;

// Guards against a probe that takes a second copy of a call's answer for its
// own. Its own answer, a shed without an id, was then taken for the refusal of
// the next call, which ran.
TEST_CASE("the answer to a probe never refuses the next call") {
  const RawEndpoint endpoint([](RawConnection& it) {
    const std::string answer =
        NamedAnswer(HeaderOf(it.ReadMessage(), kCallIdName), "read");
    it.Send(answer);
    if (it.ReadMessage().empty()) {
      return;
    }
    it.Send(answer);
    std::this_thread::sleep_for(milliseconds(20));
    it.Send(Shed());
    it.WaitForHangUp();
  });
  ExchangeFixture exchanges(endpoint);
  const ExchangeResult read = exchanges.Send(Kind::kSafe, "a");
  CHECK(read.result == SendResult::kAnswered);
  const ExchangeResult probe = exchanges.Send(Kind::kProbe, "");
  CHECK(probe.result == SendResult::kShed);
  CHECK(probe.connection == read.connection);
  // The connection carried an answer without an id, so no call may use it.
  const ExchangeResult next = exchanges.Send(Kind::kSafe, "b");
  CHECK(next.result == SendResult::kAnswered);
  CHECK(next.connection != read.connection);
}

// Guards against a late copy of a refusal that ends the next send of the same
// call while the endpoint runs it.
TEST_CASE("two sends of one call never share a connection") {
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadMessage();
    it.Send(Shed("a"));
    if (it.ReadMessage().empty()) {
      return;
    }
    it.Send(Shed("a") + NamedAnswer("a", "ran"));
    it.WaitForHangUp();
  });
  ExchangeFixture exchanges(endpoint);
  const ExchangeResult first = exchanges.Send(Kind::kUnsafe, "a");
  const ExchangeResult second = exchanges.Send(Kind::kUnsafe, "a");
  CHECK(first.result == SendResult::kShed);
  CHECK(first.connection < second.connection);
  // Without an id, the owner of the sends names the connections.
  const ExchangeResult third =
      exchanges.Send(Kind::kSafe, "c", "", milliseconds(100),
                     {first.connection, second.connection});
  CHECK(third.connection > second.connection);
  CHECK(endpoint.connections() == 3);
}

// Guards against a call on a connection on which a refusal without an id may be
// the copy of an earlier one.
TEST_CASE("calls avoid connections with a refusal that names no call") {
  const RawEndpoint endpoint([](RawConnection& it) {
    while (!it.ReadMessage().empty()) {
      it.Send(Shed());
    }
  });
  for (const Kind kind : {Kind::kUnsafe, Kind::kSafe}) {
    ExchangeFixture exchanges(endpoint);
    const ExchangeResult first = exchanges.Send(kind, "a");
    CHECK(first.result == SendResult::kShed);
    const ExchangeResult second = exchanges.Send(kind, "b");
    CHECK(second.result == SendResult::kShed);
    CHECK(second.connection != first.connection);
    const ExchangeResult probe = exchanges.Send(Kind::kProbe, "");
    CHECK(probe.connection <= second.connection);
  }
}

// Guards against a late copy of a refusal without an id that refuses another,
// idempotent call while the endpoint runs it.
TEST_CASE("a copy of a refusal that names no call refuses no read") {
  std::atomic<int> received = 0;
  const RawEndpoint endpoint([&](RawConnection& it) {
    std::string copy;
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      if (++received == 1) {
        copy = Shed();
        it.Send(copy);
        continue;
      }
      it.Send(copy + NamedAnswer(HeaderOf(request, kCallIdName), "ran"));
    }
  });
  ExchangeFixture exchanges(endpoint);
  CHECK(exchanges.Send(Kind::kSafe, "a").result == SendResult::kShed);
  CHECK(exchanges.Send(Kind::kSafe, "b").result == SendResult::kAnswered);
}

// Guards against a caller that is told that nothing ran, because the late copy
// of a first refusal ended the next send of its call at the same endpoint.
TEST_CASE("a repeated refusal does not hide that a later send ran") {
  std::atomic<int> arrivals = 0;
  const RawEndpoint endpoint([&](RawConnection& it) {
    std::string copy;
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      const std::string call = HeaderOf(request, kCallIdName);
      if (call.empty()) {
        it.Send(OkAnswer("",
                         "X-Damasktack-Instance-Id: i-0\r\n"
                         "X-Damasktack-Server-Load: 0,0,16,100\r\n"));
      } else if (++arrivals == 1) {
        copy = Shed(call);
        it.Send(copy);
      } else {
        it.Send(copy + NamedAnswer(call, "ran"));
      }
    }
  });
  ProxyOptions options = ProxyFixture::FastOptions();
  options.names = KvProtocolNames();
  options.measures_before_sending = true;
  ProxyFixture proxy({.options = options});
  Route traits;
  traits.timeout = std::chrono::seconds(2);
  traits.attempt_limit = 3;
  traits.contract.retry_percent = 100;
  proxy.state().SetRouting(MakeReadWriteRoutes({endpoint.port()}, traits), 1,
                           Clock::now());
  const std::string answer = proxy.Ask(
      "POST /write/x HTTP/1.1\r\nHost: a.example\r\n" +
      std::string(kCallIdName) +
      ": c-1\r\nX-Damasktack-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n");
  CHECK(arrivals == 2);
  CHECK(StatusOf(answer) == 200);
  CHECK(BodyOf(answer) == "ran");
}

// Guards against the same where answers name no call: only the connections of
// the call's earlier sends can be excluded then.
TEST_CASE("a repeated refusal that names no call hides no later send") {
  const std::string refusal =
      "HTTP/1.1 503 Service Unavailable\r\nEndpoint-Shed: 1\r\n"
      "Content-Length: 0\r\n\r\n";
  std::atomic<int> arrivals = 0;
  const RawEndpoint endpoint([&](RawConnection& it) {
    std::string copy;
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      if (!request.starts_with("POST")) {
        it.Send(
            OkAnswer("", "Endpoint-Load: in_flight=0, queued=0, slots=6\r\n"));
      } else if (++arrivals == 1) {
        copy = refusal;
        it.Send(copy);
      } else {
        it.Send(copy + OkAnswer("ran"));
      }
    }
  });
  const ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  const std::string answer = proxy.Ask(PostRequest("cut"));
  CHECK(arrivals == 2);
  CHECK(BodyOf(answer) == "ran");
}

}  // namespace
}  // namespace damasktack
