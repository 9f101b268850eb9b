#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

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

// Guards against a field whose name holds a blank or a control byte: a line
// that begins with a blank was joined to the line before it, also if it stated
// the body's length.
TEST_CASE("an answer with a field name that is no token is given up") {
  const std::vector<std::string> lines = {"X A: b",
                                          "X-A : b",
                                          " X-A: b",
                                          "\tX-A: b",
                                          "X\x01-A: b",
                                          "X-A\x7f: b",
                                          "X\x80-A: b",
                                          ": b",
                                          "X-A",
                                          " folded",
                                          "X(A): b",
                                          "Content-Length : 2",
                                          "X\t-A: b",
                                          " Content-Length: 2",
                                          "\tContent-Length: 2",
                                          std::string("X\0-A: b", 7)};
  for (const std::string& line : lines) {
    for (const Kind kind : {Kind::kSafe, Kind::kUnsafe}) {
      CAPTURE(line);
      const ExchangeResult result =
          ResultOf("HTTP/1.1 200 OK\r\n" + kNamed + "X-B: b\r\n" + line +
                       "\r\nContent-Length: 4\r\n\r\nbody",
                   kind);
      CHECK(result.result == SendResult::kBroken);
      CHECK(!result.answer);
    }
  }
}

TEST_CASE("a first field whose name is no token is not passed on") {
  for (const std::string line : {"X A: b", " X-A: b", "X\x01-A: b"}) {
    CAPTURE(line);
    CHECK(!ResultOf("HTTP/1.1 200 OK\r\n" + line + "\r\n" + kNamed +
                    "Content-Length: 4\r\n\r\nbody")
               .answer);
  }
}

// Guards against the same lines behind the last chunk of a body.
TEST_CASE("no line behind a body is passed on as one of the head") {
  for (const std::string line : {"X A: b", " X-A: b", "X\x01-A: b", "X-A: b"}) {
    CAPTURE(line);
    const ExchangeResult result =
        ResultOf("HTTP/1.1 200 OK\r\n" + kNamed +
                 "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
                 "X-B: b\r\n" +
                 line + "\r\n\r\n");
    if (result.answer) {
      CHECK(result.answer->body() == "body");
      CHECK(result.answer->count("X-A") == 0);
      CHECK(result.answer->count("X-B") == 0);
    }
  }
}

// Guards against a body that has no length and ends in a reset while the
// request is written: the write consumes the error, and the read then sees a
// regular end.
TEST_CASE(
    "an answer that a reset ends during a long upload is never complete") {
  constexpr int kPlays = 20;
  const std::string upload(8 << 20, 'u');
  for (int n = 0; n < kPlays; ++n) {
    const RawEndpoint endpoint([&](RawConnection& it) {
      it.ReadHead();
      it.Send("HTTP/1.1 200 OK\r\n" + kNamed + "\r\npart of the body");
      std::this_thread::sleep_for(std::chrono::milliseconds(5 * (n % 4)));
      it.Reset();
    });
    const ExchangeResult result =
        ExchangeFixture(endpoint).Send(Kind::kUnsafe, "c-1", upload, kTimeout);
    CHECK(result.result == SendResult::kBroken);
    CHECK(!result.answer);
  }
}

// The counterpart: an endpoint that answers early and closes regularly.
TEST_CASE("an early answer with a length is complete during a long upload") {
  const std::string upload(8 << 20, 'u');
  const RawEndpoint endpoint([&](RawConnection& it) {
    it.ReadHead();
    it.Send("HTTP/1.1 200 OK\r\n" + kNamed + "Content-Length: 2\r\n\r\nok");
    it.WaitForHangUp();
  });
  const ExchangeResult result =
      ExchangeFixture(endpoint).Send(Kind::kUnsafe, "c-1", upload, kTimeout);
  REQUIRE(result.answer);
  CHECK(result.answer->body() == "ok");
}

// An answer without a length is believed only if the endpoint had the whole
// request: it may have broken off as well.
TEST_CASE("an early answer without a length is no whole one if it closes") {
  const std::string upload(8 << 20, 'u');
  for (const bool closes_all : {false, true}) {
    const RawEndpoint endpoint([&](RawConnection& it) {
      it.ReadHead();
      it.Send("HTTP/1.1 200 OK\r\n" + kNamed + "\r\nok");
      closes_all ? it.Close() : it.FinishSending();
      it.WaitForHangUp();
    });
    const ExchangeResult result =
        ExchangeFixture(endpoint).Send(Kind::kUnsafe, "c-1", upload, kTimeout);
    CHECK(result.result == SendResult::kBroken);
    CHECK(!result.answer);
  }
}

TEST_CASE("an answer without a length is complete after a whole upload") {
  const std::string upload(8 << 20, 'u');
  const RawEndpoint endpoint([&](RawConnection& it) {
    it.ReadMessage();
    it.Send("HTTP/1.1 200 OK\r\n" + kNamed + "\r\nok");
  });
  const ExchangeResult result =
      ExchangeFixture(endpoint).Send(Kind::kUnsafe, "c-1", upload, kTimeout);
  REQUIRE(result.answer);
  CHECK(result.answer->body() == "ok");
}

}  // namespace
}  // namespace damasktack
