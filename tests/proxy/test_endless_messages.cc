#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <vector>

#include "exchange_fixture.h"
#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

// What a peer that never ends its message sends: once, and then repeatedly.
struct EndlessMessage {
  std::string name;
  std::string begin;
  std::string repeated;
};

constexpr std::size_t kPartBytes = 64 << 10;
// Far more than any message may take.
constexpr std::size_t kMaxSentBytes = 64 << 20;

std::string Repeat(const std::string& text) {
  std::string part;
  while (part.size() < kPartBytes) {
    part += text;
  }
  return part;
}

// Returns whether the peer closes the connection before kMaxSentBytes are sent.
bool IsCutOff(RawConnection& connection, const EndlessMessage& message) {
  const std::string part = Repeat(message.repeated);
  bool is_open = connection.Send(message.begin);
  for (std::size_t n = 0; is_open && n < kMaxSentBytes; n += part.size()) {
    is_open = connection.Send(part);
  }
  return !is_open;
}

const std::string kChunkedAnswer =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::vector<EndlessMessage> EndlessAnswers() {
  return {
      {"no answer", "", "\x01\x7f?"},
      {"status line", "HTTP/1.1 200 ", "O"},
      {"header", "HTTP/1.1 200 OK\r\nX-A: ", "a"},
      {"header lines", "HTTP/1.1 200 OK\r\n", "X-A: a\r\n"},
      {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"body until close", "HTTP/1.1 200 OK\r\n\r\n", "a"},
      {"long body", "HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n",
       "a"},
      {"chunks", kChunkedAnswer, "1\r\na\r\n"},
      {"chunk size", kChunkedAnswer, "0"},
      {"chunk extension", kChunkedAnswer + "5;x=", "y"},
      {"trailer", kChunkedAnswer + "0\r\nX-A: ", "a"},
      {"trailer lines", kChunkedAnswer + "0\r\n", "X-A: a\r\n"},
  };
}

// Guards against an endpoint that fills a host's memory with a message that
// never ends: it is given up as soon as it is too large, not at the deadline.
TEST_CASE("an answer without end is given up when it is too large") {
  using Kind = ExchangeFixture::Kind;
  for (const EndlessMessage& it : EndlessAnswers()) {
    for (const Kind kind : {Kind::kSafe, Kind::kUnsafe, Kind::kProbe}) {
      CAPTURE(it.name);
      std::atomic<bool> is_cut_off = false;
      ExchangeResult result;
      {
        const RawEndpoint endpoint([&](RawConnection& connection) {
          connection.ReadMessage();
          is_cut_off = IsCutOff(connection, it);
        });
        ExchangeFixture exchanges(endpoint);
        const std::string call = kind == Kind::kProbe ? "" : "c-1";
        result = exchanges.Send(kind, call, "", seconds(20));
      }
      CHECK(result.result == SendResult::kBroken);
      CHECK(!result.answer);
      CHECK(is_cut_off);
    }
  }
}

// Guards against callers who fill a host's memory with a request that never
// ends.
TEST_CASE("a request without end is refused when it is too large") {
  const std::string head = "POST /x HTTP/1.1\r\nHost: a.example\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  ProxyOptions options = ProxyFixture::FastOptions();
  options.request_timeout = seconds(20);
  const ProxyFixture proxy({.options = options});
  const auto refusal_of = [&](const EndlessMessage& message) {
    RawConnection caller = proxy.Connect();
    const std::string part = Repeat(message.repeated);
    bool is_open = caller.Send(message.begin);
    // The host does not read on, so its answer is not lost in a reset.
    for (std::size_t n = 0; is_open && n < kPartBytes * 3; n += part.size()) {
      is_open = caller.Send(part);
    }
    return StatusOf(caller.ReadMessage());
  };
  CHECK(refusal_of({"target", "GET /", "a"}) == 431);
  CHECK(refusal_of({"header", head + "X-A: ", "a"}) == 431);
  CHECK(refusal_of({"chunk size", chunked, "0"}) == 400);
  CHECK(refusal_of({"chunk extension", chunked + "5;x=", "y"}) == 400);
  CHECK(refusal_of({"trailer", chunked + "0\r\nX-A: ", "a"}) == 400);
  CHECK(refusal_of({"trailer lines", chunked + "0\r\n", "X-A: a\r\n"}) == 400);
}

}  // namespace
}  // namespace damasktack
