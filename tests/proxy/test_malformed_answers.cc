#include <doctest/doctest.h>

#include <string>

#include "exchange_fixture.h"

namespace damasktack {
namespace {

using Kind = ExchangeFixture::Kind;
using std::chrono::seconds;

constexpr Duration kTimeout = seconds(20);
const std::string kNamed = "X-Damasktack-Request-Id: c-1\r\n";

// Returns the result for a caller whose endpoint sends these bytes and then
// waits.
ExchangeResult ResultOf(const std::string& bytes, Kind kind = Kind::kUnsafe) {
  const RawEndpoint endpoint([&](RawConnection& it) {
    it.ReadMessage();
    it.Send(bytes);
    it.WaitForHangUp();
  });
  return ExchangeFixture(endpoint).Send(kind, "c-1", "", kTimeout);
}

// Guards against a status that is none, such as 000, which reached the caller
// as the endpoint's answer.
TEST_CASE("an answer with a status outside 200 to 599 is given up") {
  for (const char* status : {"000", "001", "099", "101", "600", "999"}) {
    for (const Kind kind : {Kind::kSafe, Kind::kUnsafe}) {
      CAPTURE(status);
      const ExchangeResult result =
          ResultOf("HTTP/1.1 " + std::string(status) + " X\r\n" + kNamed +
                       "Content-Length: 2\r\n\r\nok",
                   kind);
      CHECK(result.result == SendResult::kBroken);
      CHECK(!result.answer);
    }
  }
}

TEST_CASE("the lowest and the highest status are passed on") {
  for (const char* status : {"200", "599"}) {
    const ExchangeResult result =
        ResultOf("HTTP/1.1 " + std::string(status) + " X\r\n" + kNamed +
                 "Content-Length: 2\r\n\r\nok");
    REQUIRE(result.answer);
    CHECK(result.answer->body() == "ok");
  }
}

}  // namespace
}  // namespace damasktack
