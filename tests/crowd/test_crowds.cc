#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include "core/time.h"
#include "tests/crowd/crowd.h"
#include "tests/crowd/crowd_host.h"

namespace damasktack {
namespace {

constexpr std::size_t kBodyBytes = CrowdHost::kMaxBodyBytes;
constexpr std::size_t kPartBytes = 64 << 10;
constexpr std::size_t kLargeChunkBytes = 1 << 20;
constexpr std::size_t kSmallChunkBytes = 4;
// Size of a body that is far over the limit.
constexpr std::size_t kOversizedBytes = 4 * kBodyBytes;
constexpr Duration kMaxCalmTime = std::chrono::minutes(1);
constexpr Duration kPollInterval = std::chrono::milliseconds(50);

std::shared_ptr<const std::string> MakePart(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

std::string Hex(std::size_t number) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (; number > 0; number /= 16) {
    text.insert(text.begin(), kDigits[number % 16]);
  }
  return text;
}

std::string Chunk(std::size_t bytes) {
  return Hex(bytes) + "\r\n" + std::string(bytes, 'a') + "\r\n";
}

std::string IdOf(std::size_t client) {
  return "crowd-" + std::to_string(client);
}

using MakeMessage = std::function<CrowdMessage(std::size_t)>;

// A body of `sent` bytes under an announced length.
MakeMessage WithLength(std::size_t announced, std::size_t sent) {
  const auto part = MakePart(std::string(kPartBytes, 'a'));
  return [=](std::size_t client) {
    return CrowdMessage{
        RequestHead("POST", "/write/x", IdOf(client),
                    "Content-Length: " + std::to_string(announced)),
        part, sent / kPartBytes, ""};
  };
}

// A body of `total` bytes in chunks of one size.
MakeMessage InChunks(std::size_t chunk_bytes, std::size_t total) {
  const std::size_t chunks = std::max(kPartBytes / chunk_bytes, std::size_t{1});
  std::string text;
  for (std::size_t n = 0; n < chunks; ++n) {
    text += Chunk(chunk_bytes);
  }
  const auto part = MakePart(std::move(text));
  return [=](std::size_t client) {
    return CrowdMessage{RequestHead("POST", "/write/x", IdOf(client),
                                    "Transfer-Encoding: chunked"),
                        part, total / (chunk_bytes * chunks), "0\r\n\r\n"};
  };
}

// Sends one request until it is answered with 200: a host notices only a moment
// later that a crowd has left.
std::string AskInCalm(const CrowdHost& host, const std::string& request) {
  const TimePoint last = Clock::now() + kMaxCalmTime;
  std::string answer = host.Ask(request);
  while (StatusCodeOf(answer) != 200 && Clock::now() < last) {
    std::this_thread::sleep_for(kPollInterval);
    answer = host.Ask(request);
  }
  return answer;
}

// Plays one crowd against one host, and checks what must hold whatever the
// machine's speed.
class CrowdCheck {
 public:
  // A crowd at the port of callers, unless the plan names another port.
  void Play(Crowd::Plan plan) {
    if (plan.port == 0) {
      plan.port = host_.callers();
    }
    Crowd crowd(std::move(plan));
    crowd.Run([this] { Observe(); });
    CheckHost();
    CHECK(StatusCodeOf(host_.Ask(RequestHead("GET", "/read/x", "ordinary"))) ==
          200);
    CheckAnswers(crowd);
    crowd.Leave();
    CheckCalm();
    CheckHost();
  }

  CrowdHost& host() { return host_; }

 private:
  void Observe() {
    most_descriptors_ = std::max(most_descriptors_, host_.OpenDescriptors());
  }

  void CheckHost() {
    Observe();
    CHECK(host_.IsRunning());
    CHECK(host_.PeakBytes() > 0);
    CHECK(host_.PeakBytes() <= CrowdHost::kMachineBytes);
    CHECK(most_descriptors_ <= CrowdHost::kMachineDescriptors);
  }

  // A refusal is one of the protocol, and one that says "not run" is true.
  void CheckAnswers(Crowd& crowd) {
    const std::set<int> allowed = {0, 200, 400, 408, 413, 429, 431, 503};
    const std::set<int> not_run = {408, 413, 429, 431, 503};
    for (std::size_t n = 0; n < crowd.size(); ++n) {
      const int status = crowd.StatusOf(n);
      CAPTURE(status);
      CHECK(allowed.contains(status));
      CHECK(!(not_run.contains(status) && host_.HasRun(IdOf(n))));
    }
  }

  // A request of the largest size is served once the crowd has left, with a
  // length and in chunks.
  void CheckCalm() const {
    const std::string body(kBodyBytes, 'b');
    const std::string plain =
        RequestHead("POST", "/write/x", "calm-1",
                    "Content-Length: " + std::to_string(kBodyBytes)) +
        body;
    CHECK(AskInCalm(host_, plain).ends_with(std::to_string(kBodyBytes)));
    const std::string chunked = RequestHead("POST", "/write/x", "calm-2",
                                            "Transfer-Encoding: chunked") +
                                Hex(kBodyBytes) + "\r\n" + body +
                                "\r\n0\r\n\r\n";
    CHECK(AskInCalm(host_, chunked).ends_with(std::to_string(kBodyBytes)));
  }

  CrowdHost host_;
  std::size_t most_descriptors_ = 0;
};

// Guards against a host that a single request of the largest size takes past
// its memory.
TEST_CASE("a single request of the largest size is served") {
  CrowdCheck().Play({.clients = 0, .message = nullptr});
}

// Guards against callers whose large bodies together fill a host's memory.
TEST_CASE("a host outlives many large bodies") {
  CrowdCheck().Play({.message = WithLength(kBodyBytes, kBodyBytes)});
}

// Guards against the same bodies in small pieces, all callers by turns.
TEST_CASE("a host outlives many large bodies that come piece by piece") {
  CrowdCheck().Play(
      {.piece_bytes = 16 << 10, .message = WithLength(kBodyBytes, kBodyBytes)});
}

// Guards against a body that is read although its announced length is over the
// limit.
TEST_CASE("a host outlives bodies that are announced far over the limit") {
  CrowdCheck().Play({.whole_each = 1,
                     .message = WithLength(kOversizedBytes, kOversizedBytes)});
}

// Guards against a body that is held although it has grown over the limit.
TEST_CASE("a host outlives bodies that grow far over the limit") {
  CrowdCheck().Play(
      {.whole_each = 1, .message = InChunks(kPartBytes, kOversizedBytes)});
}

// Guards against bytes behind a body, which are the beginning of a next
// request.
TEST_CASE("a host outlives bodies that go on behind their length") {
  CrowdCheck().Play(
      {.whole_each = 1, .message = WithLength(kBodyBytes, kOversizedBytes)});
}

// Guards against large chunked bodies, whose size is known at their end only.
TEST_CASE("a host outlives many bodies in large chunks") {
  CrowdCheck().Play({.message = InChunks(kLargeChunkBytes, kBodyBytes)});
}

// Guards against chunks whose framing is larger than what they carry.
TEST_CASE("a host outlives many bodies in very small chunks") {
  CrowdCheck().Play({.message = InChunks(kSmallChunkBytes, kBodyBytes)});
}

// Guards against connections without a request that keep ordinary callers out
// until their idle timeout.
TEST_CASE("a host outlives more silent connections than it accepts") {
  CrowdHost host;
  Crowd crowd({.port = host.callers(),
               .clients = CrowdHost::kCallerConnections + 20,
               .whole_each = 0,
               .message = [part = MakePart("")](std::size_t /*client*/) {
                 return CrowdMessage{"G", part, 0, ""};
               }});
  crowd.Run([] {});
  CHECK(StatusCodeOf(AskInCalm(host, RequestHead("GET", "/read/x", "c"))) ==
        200);
  CHECK(host.IsRunning());
  CHECK(host.PeakBytes() <= CrowdHost::kMachineBytes);
  CHECK(host.OpenDescriptors() <= CrowdHost::kMachineDescriptors);
}

// Guards against large bodies at the port for relayed calls, which strangers
// may reach too.
TEST_CASE("a host outlives a crowd at its port for relayed calls") {
  CrowdCheck check;
  check.Play({.port = check.host().relays(),
              .message = WithLength(kBodyBytes, kBodyBytes)});
}

TEST_CASE("a host outlives a chunked crowd at its port for relayed calls") {
  CrowdCheck check;
  check.Play({.port = check.host().relays(),
              .message = InChunks(kLargeChunkBytes, kBodyBytes)});
}

// Guards against large bodies at the port of the readiness check.
TEST_CASE("a host outlives a crowd at its port for readiness") {
  CrowdCheck check;
  check.Play({.port = check.host().admin(),
              .message = WithLength(kBodyBytes, kBodyBytes)});
}

// Guards against large bodies at the port for the fleet's links.
TEST_CASE("a host outlives a crowd at its port for peers") {
  CrowdCheck check;
  check.Play({.port = check.host().peers(),
              .message = WithLength(kBodyBytes, kBodyBytes)});
}

}  // namespace
}  // namespace damasktack
