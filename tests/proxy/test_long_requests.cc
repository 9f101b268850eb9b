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

// Guards against a long request that is cut off because its endpoint starts to
// read late. Its kernel acknowledges every window probe meanwhile.
TEST_CASE("a long request waits for an endpoint that reads late") {
  constexpr std::size_t kBody = 8U << 20U;
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadHead();
    std::this_thread::sleep_for(milliseconds(2600));
    const std::size_t size = BodyOf(it.ReadMessage()).size();
    it.Send(NamedAnswer("a", std::to_string(size)));
    it.ReadMessage();
    it.Send(NamedAnswer("b", "next"));
    it.WaitForHangUp();
  });
  ExchangeFixture exchanges(endpoint);
  const ExchangeResult sent =
      exchanges.Send(Kind::kUnsafe, "a", std::string(kBody, 'x'), seconds(6));
  CHECK(sent.result == SendResult::kAnswered);
  REQUIRE(sent.answer);
  CHECK(sent.answer->body() == std::to_string(kBody));
  CHECK(exchanges.Send(Kind::kUnsafe, "b").connection == sent.connection);
}

// Guards against a call that waits for its deadline although its endpoint's
// host is gone: from the start, or after the endpoint has left no room for more
// data and the kernel's own timeout is off. The time includes the longest pause
// between two window probes.
TEST_CASE("a long request to a lost endpoint is given up early") {
  constexpr std::size_t kBody = 8U << 20U;
  for (const auto pause : {milliseconds(0), milliseconds(1000)}) {
    const RawEndpoint endpoint([&](RawConnection& it) {
      it.ReadHead();
      std::this_thread::sleep_for(pause);
      it.DropIncoming();
      std::this_thread::sleep_for(seconds(4));
    });
    ExchangeFixture exchanges(endpoint);
    const ExchangeResult sent = exchanges.Send(
        Kind::kUnsafe, "a", std::string(kBody, 'x'), seconds(30));
    CHECK(sent.result == SendResult::kBroken);
    CHECK(sent.took < seconds(10));
    MESSAGE("given up after "
            << std::chrono::duration_cast<milliseconds>(sent.took).count()
            << " ms");
  }
}

}  // namespace
}  // namespace damasktack
