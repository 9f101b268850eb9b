#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "exchange_fixture.h"

namespace damasktack {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\nX-Damasktack-Request-Id: c-1\r\n";

// Returns all beginnings of an answer that lack at least its last byte.
std::vector<std::string> Beginnings(const std::string& answer) {
  std::vector<std::string> beginnings;
  for (std::size_t n = 0; n < answer.size(); ++n) {
    beginnings.push_back(answer.substr(0, n));
  }
  return beginnings;
}

enum class End { kClose, kReset };

// Guards against an answer that was cut off, in its head or later, and reaches
// the caller as a complete one.
TEST_CASE("an answer that is cut off at any byte is never complete") {
  using Kind = ExchangeFixture::Kind;
  const std::vector<std::string> answers = {
      kHead + "Content-Length: 10\r\n\r\n0123456789",
      kHead + "Content-Length: 0\r\n\r\n",
      kHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + kHead + "Content-Length: 1\r\n\r\n1",
  };
  for (const std::string& answer : answers) {
    for (const std::string& beginning : Beginnings(answer)) {
      for (const End end : {End::kClose, End::kReset}) {
        CAPTURE(beginning);
        const RawEndpoint endpoint([&](RawConnection& it) {
          it.ReadMessage();
          it.Send(beginning);
          end == End::kClose ? it.Close() : it.Reset();
        });
        ExchangeFixture exchanges(endpoint);
        const ExchangeResult result =
            exchanges.Send(Kind::kUnsafe, "c-1", "", std::chrono::seconds(20));
        CHECK(result.result == SendResult::kBroken);
        CHECK(!result.answer);
      }
    }
  }
}

// Guards against an answer without a length that a reset ends: only a regular
// close ends it.
TEST_CASE("an answer that ends with its connection is complete if closed") {
  using Kind = ExchangeFixture::Kind;
  for (const End end : {End::kClose, End::kReset}) {
    const RawEndpoint endpoint([&](RawConnection& it) {
      it.ReadMessage();
      it.Send(kHead + "\r\nabc");
      end == End::kClose ? it.Close() : it.Reset();
    });
    ExchangeFixture exchanges(endpoint);
    const ExchangeResult result =
        exchanges.Send(Kind::kSafe, "c-1", "", std::chrono::seconds(20));
    CHECK(result.answer.has_value() == (end == End::kClose));
  }
}

}  // namespace
}  // namespace damasktack
