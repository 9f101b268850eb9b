#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "core/memory_account.h"
#include "exchange_fixture.h"
#include "proxy/message_reader.h"
#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Source = MemoryBudget::Source;

// With this memory a request may hold 14.4 MB.
constexpr std::int64_t kMemoryMb = 32;
constexpr std::size_t kLargeBody = 12'000'000;
constexpr std::size_t kPart = 100'000;
// Most that the unread input of the connections of one test holds.
constexpr std::size_t kIdleBytes = 64 << 10;

ProxyOptions Options() {
  ProxyOptions options = ProxyFixture::FastOptions();
  options.memory_mb = kMemoryMb;
  options.threads = 1;
  options.request_body_bytes = 64 << 20;
  options.request_timeout = seconds(60);
  return options;
}

// Returns the head of a request with a body of this size.
std::string UploadHead(std::size_t bytes) {
  constexpr std::string_view kNoBody = "Content-Length: 0";
  std::string head = PostRequest("");
  head.replace(head.find(kNoBody), kNoBody.size(),
               "Content-Length: " + std::to_string(bytes));
  return head;
}

// Waits until the messages of a host hold as much as `is_reached` wants.
template <typename Condition>
bool Eventually(Condition is_reached) {
  const TimePoint last = Clock::now() + seconds(20);
  while (!is_reached()) {
    if (Clock::now() > last) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

// Serves one request of a connection.
void RunOnce(RawConnection& it) {
  it.ReadMessage();
  it.Send(OkAnswer("ran"));
  it.WaitForHangUp();
}

// Begins a request that takes the room of all large ones.
RawConnection BeginUpload(ProxyFixture& proxy) {
  RawConnection caller = proxy.Connect();
  caller.Send(UploadHead(kLargeBody) + std::string(kPart, 'a'));
  CHECK(
      Eventually([&] { return proxy.state().memory().used() >= kLargeBody; }));
  return caller;
}

// Guards against a request that is read although there is no memory for it, and
// against a body that is taken for the next request.
TEST_CASE("a request without room is refused, and its body is no request") {
  ProxyFixture proxy({.endpoint_ports = {}, .options = Options()});
  const RawConnection first = BeginUpload(proxy);
  RawConnection second = proxy.Connect();
  const std::string hidden = GetRequest("/x");
  second.Send(UploadHead(kLargeBody) + hidden + hidden);
  const std::string answer = second.ReadMessage();
  CHECK(StatusOf(answer) == 503);
  CHECK(BodyOf(answer).find("memory-short") != std::string::npos);
  CHECK(BodyOf(answer).find("not-run") != std::string::npos);
  CHECK(HeaderOf(answer, "Retry-After") == "1");
  CHECK(second.ReadToEnd().empty());
}

// Guards against large requests that keep small ones out.
TEST_CASE("a small request is served while large ones take all their room") {
  const RawEndpoint endpoint(RunOnce);
  ProxyFixture proxy(
      {.endpoint_ports = {endpoint.port()}, .options = Options()});
  const RawConnection upload = BeginUpload(proxy);
  CHECK(StatusOf(proxy.Ask(PostRequest("small"))) == 200);
}

// Guards against callers that stop sending and keep others out until their time
// is over.
TEST_CASE("a request that has stalled makes room for another") {
  const RawEndpoint endpoint(RunOnce);
  ProxyFixture proxy(
      {.endpoint_ports = {endpoint.port()}, .options = Options()});
  RawConnection stalled = BeginUpload(proxy);
  std::this_thread::sleep_for(milliseconds(700));
  RawConnection other = proxy.Connect();
  other.Send(UploadHead(kLargeBody) + std::string(kLargeBody, 'b'));
  CHECK(StatusOf(other.ReadMessage()) == 200);
  CHECK(StatusOf(stalled.ReadMessage()) == 408);
}

// Guards against a refusal that no other host would mend: one host with less
// memory than its neighbours.
TEST_CASE("a request that never fits is refused with 503 at once") {
  ProxyFixture proxy({.endpoint_ports = {}, .options = Options()});
  RawConnection caller = proxy.Connect();
  caller.Send(UploadHead(kLargeBody * 4));
  CHECK(StatusOf(caller.ReadMessage()) == 503);
}

// Guards against a published limit that no memory could hold.
TEST_CASE("a limit on bodies beyond any memory refuses no request in chunks") {
  const RawEndpoint endpoint(RunOnce);
  ProxyOptions options = Options();
  options.request_body_bytes = std::int64_t{1} << 62U;
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}, .options = options});
  constexpr std::string_view kLength = "Content-Length: 2000000";
  std::string request = UploadHead(2'000'000);
  request.replace(request.find(kLength), kLength.size(),
                  "Transfer-Encoding: chunked");
  // 2,000,000 bytes.
  request += "1e8480\r\n" + std::string(2'000'000, 'c') + "\r\n0\r\n\r\n";
  CHECK(StatusOf(proxy.Ask(request)) == 200);
}

// Guards against memory that is not given back: by callers that leave in the
// middle, by a refusal, by a time-out, by a complete call and its answer.
TEST_CASE("what messages hold is given back on every path") {
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadMessage();
    it.Send(OkAnswer(std::string(200'000, 'r')));
    it.WaitForHangUp();
  });
  ProxyOptions options = Options();
  options.request_timeout = milliseconds(400);
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}, .options = options});
  {
    RawConnection left = BeginUpload(proxy);
    left.Reset();
  }
  const auto is_empty = [&] {
    return proxy.state().memory().used() <= kIdleBytes;
  };
  CHECK(Eventually(is_empty));
  {
    RawConnection late = BeginUpload(proxy);
    CHECK(StatusOf(late.ReadMessage()) == 408);
  }
  CHECK(Eventually(is_empty));
  {
    RawConnection gone = proxy.Connect();
    gone.Send(PostRequest(std::string(300'000, 'c')));
    gone.Close();
  }
  CHECK(Eventually(is_empty));
  {
    RawConnection caller = proxy.Connect();
    caller.Send(PostRequest(std::string(300'000, 'c')));
    CHECK(BodyOf(caller.ReadMessage()).size() == 200'000);
  }
  CHECK(Eventually(is_empty));
}

// Guards against a body that is held twice: at its last part, whose framing
// counts as well, or at a size between.
TEST_CASE("a body of the largest size is copied while it is small only") {
  constexpr std::size_t kMaxBytes = 16 << 20;
  std::string body(2 << 20, 'a');
  detail::ReserveCapacity(body, body.size() + 1000, kMaxBytes);
  CHECK(body.capacity() >= kMaxBytes);
  body.resize(kMaxBytes - 10);
  const char* const before = body.data();
  detail::ReserveCapacity(body, kMaxBytes + 1000, kMaxBytes);
  CHECK(body.data() == before);
  CHECK(body.capacity() < kMaxBytes + 1000);
}

// Guards against an endpoint's answer that is read although there is no memory
// for it: it waits in the kernel until there is.
TEST_CASE("an answer with a length waits for room") {
  MemoryBudget budget(16 << 20);
  MemoryAccount others(&budget, Source::kAnswer);
  REQUIRE(others.Resize(14 << 20));
  const std::string body(4 << 20, 'r');
  const RawEndpoint endpoint([&](RawConnection& it) {
    it.ReadMessage();
    it.Send(OkAnswer(body));
    it.WaitForHangUp();
  });
  std::thread other([&] {
    std::this_thread::sleep_for(milliseconds(200));
    others.Release();
  });
  {
    ExchangeFixture exchanges(endpoint, &budget);
    const ExchangeResult result =
        exchanges.Send(ExchangeFixture::Kind::kSafe, "", "", seconds(20));
    REQUIRE(result.answer);
    CHECK(result.answer->body() == body);
    CHECK(result.took >= milliseconds(150));
    CHECK(budget.used() >= body.size());
  }
  other.join();
  CHECK(budget.used() == 0);
  CHECK(budget.peak() <= budget.limit());
}

// Guards against answers that hold a part of their room and wait for each
// other.
TEST_CASE("an answer in chunks without room is given up") {
  MemoryBudget budget(16 << 20);
  MemoryAccount others(&budget, Source::kAnswer);
  REQUIRE(others.Resize(12 << 20));
  const RawEndpoint endpoint([&](RawConnection& it) {
    it.ReadMessage();
    it.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n" +
            std::string(4 << 20, 'r') + "\r\n0\r\n\r\n");
    it.WaitForHangUp();
  });
  ExchangeFixture exchanges(endpoint, &budget);
  const ExchangeResult result =
      exchanges.Send(ExchangeFixture::Kind::kUnsafe, "", "", seconds(20));
  CHECK(result.result == SendResult::kCancelled);
  CHECK(!result.answer);
  CHECK(result.wrote);
  CHECK(budget.used() <= (12 << 20) + (64 << 10));
}

}  // namespace
}  // namespace damasktack
