#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

#include "exchange_fixture.h"
#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = ExchangeFixture::Kind;

std::string NamedAnswer(const std::string& call, const std::string& body) {
  return OkAnswer(body, std::string(kCallIdName) + ": " + call + "\r\n");
}

// Guards against a long write that is ended by the late copy of another call's
// answer. The endpoint never gets the whole request, and the caller waits until
// the deadline.
TEST_CASE("a late answer to another call does not end a long write") {
  constexpr std::size_t kBody = 8U << 20U;
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadMessage();
    it.Send(NamedAnswer("a", "read"));
    it.ReadHead();
    it.Send(NamedAnswer("a", "read"));
    std::this_thread::sleep_for(milliseconds(100));
    const std::size_t size = BodyOf(it.ReadMessage()).size();
    it.Send(NamedAnswer("b", std::to_string(size)));
    it.WaitForHangUp();
  });
  ExchangeFixture exchanges(endpoint);
  const ExchangeResult read = exchanges.Send(Kind::kSafe, "a");
  const ExchangeResult sent =
      exchanges.Send(Kind::kUnsafe, "b", std::string(kBody, 'x'));
  CHECK(sent.connection == read.connection);
  REQUIRE(sent.answer);
  CHECK(sent.answer->body() == std::to_string(kBody));
}

}  // namespace
}  // namespace damasktack
