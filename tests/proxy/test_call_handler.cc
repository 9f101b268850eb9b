#include "proxy/call_handler.h"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

// Generous time limit for events on another thread.
bool Eventually(const std::function<bool()>& holds) {
  for (int n = 0; n < 10'000 && !holds(); ++n) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return holds();
}

// A claim gate that answers when the test says so and records what was settled.
class ScriptedClaimGate : public ClaimGate {
 public:
  void Claim(const ClaimRequest& /*request*/,
             std::function<void(const ClaimReply&)> done) override {
    const std::lock_guard lock(mutex_);
    pending_claims_.push_back(std::move(done));
  }
  void Settle(const ClaimRequest& /*request*/,
              std::uint64_t claim,
              Outcome outcome,
              std::optional<StoredAnswer> answer) override {
    const std::lock_guard lock(mutex_);
    CHECK(claim == kClaim);
    settled_.push_back(outcome);
    kept_ = std::move(answer);
  }

  bool AwaitClaim() {
    return Eventually([&] {
      const std::lock_guard lock(mutex_);
      return !pending_claims_.empty();
    });
  }
  void Answer(ClaimVerdict verdict,
              std::optional<StoredAnswer> answer = std::nullopt) {
    std::function<void(const ClaimReply&)> done;
    {
      const std::lock_guard lock(mutex_);
      done = std::move(pending_claims_.back());
      pending_claims_.pop_back();
    }
    done(ClaimReply{verdict, std::move(answer), kClaim, milliseconds(2500)});
  }
  std::vector<Outcome> settled() {
    const std::lock_guard lock(mutex_);
    return settled_;
  }
  std::optional<StoredAnswer> kept() {
    const std::lock_guard lock(mutex_);
    return kept_;
  }

 private:
  static constexpr std::uint64_t kClaim = 7;

  std::mutex mutex_;
  std::vector<std::function<void(const ClaimReply&)>> pending_claims_;
  std::vector<Outcome> settled_;
  std::optional<StoredAnswer> kept_;
};

class CountingLimitGate : public LimitGate {
 public:
  Verdict Enter(const Contract& /*contract*/, TimePoint /*now*/) override {
    if (refusing) {
      return {false, milliseconds(1500)};
    }
    ++inside;
    return {};
  }
  void Leave(const CustomerId& /*customer*/, TimePoint /*now*/) override {
    --inside;
  }

  std::atomic<bool> refusing = false;
  std::atomic<int> inside = 0;
};

// An endpoint that counts its requests and behaves as the test specifies.
struct CallFixture {
  explicit CallFixture(RawEndpoint::Script script)
      : endpoint([this, script = std::move(script)](RawConnection& it) {
          if (!it.ReadMessage().empty()) {
            ++request_count;
            script(it);
          }
        }),
        proxy(std::make_unique<ProxyFixture>(
            ProxyFixture::Setup{.endpoint_ports = {endpoint.port()},
                                .limits = &limits,
                                .claims = &claims})) {}

  std::atomic<int> request_count = 0;
  CountingLimitGate limits;
  ScriptedClaimGate claims;
  RawEndpoint endpoint;
  std::unique_ptr<ProxyFixture> proxy;
};

const std::string kCommand =
    PostRequest("cut",
                "Idempotency-Key: k1\r\nDamasktack-Deadline-Ms: 5000\r\n");

void AnswerRan(RawConnection& it) {
  it.Send(OkAnswer("ran", "Content-Type: text/plain\r\n"));
  it.WaitForHangUp();
}

void NeverAnswer(RawConnection& it) {
  it.WaitForHangUp();
}

using Settled = std::vector<Outcome>;

TEST_CASE("a granted call that ran is settled once with its answer") {
  CallFixture fixture(AnswerRan);
  RawConnection caller = fixture.proxy->Connect();
  caller.Send(kCommand);
  REQUIRE(fixture.claims.AwaitClaim());
  CHECK(fixture.request_count == 0);
  fixture.claims.Answer(ClaimVerdict::kGranted);
  CHECK(BodyOf(caller.ReadMessage()) == "ran");
  CHECK(fixture.claims.settled() == Settled{Outcome::kComplete});
  CHECK(fixture.claims.kept() == StoredAnswer{200, "text/plain", "ran"});
}

// The caller disconnects while the claim is being requested from the replicas.
// The grant then has no receiver. If it stayed unsettled, the key would be
// blocked permanently; if it were settled as anything but not-run, the caller
// could not retry.
TEST_CASE("a grant for a disconnected caller is settled as not run") {
  CallFixture fixture(AnswerRan);
  {
    RawConnection caller = fixture.proxy->Connect();
    caller.Send(kCommand);
    REQUIRE(fixture.claims.AwaitClaim());
  }
  std::this_thread::sleep_for(milliseconds(50));
  fixture.claims.Answer(ClaimVerdict::kGranted);
  CHECK(Eventually([&] { return !fixture.claims.settled().empty(); }));
  CHECK(Eventually([&] { return fixture.limits.inside == 0; }));
  CHECK(fixture.claims.settled() == Settled{Outcome::kNotRun});
  CHECK(fixture.request_count == 0);
}

// The claim replicas answer after the deadline. The caller has been told
// `unknown`, because an earlier request may have run, and the late grant must
// release the key without a send.
TEST_CASE("a grant after the deadline is settled as not run") {
  CallFixture fixture(AnswerRan);
  const std::string answer = fixture.proxy->Ask(PostRequest(
      "cut", "Idempotency-Key: k1\r\nDamasktack-Deadline-Ms: 50\r\n"));
  CHECK(StatusOf(answer) == 503);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "unknown");
  fixture.claims.Answer(ClaimVerdict::kGranted);
  CHECK(Eventually([&] { return !fixture.claims.settled().empty(); }));
  CHECK(fixture.claims.settled() == Settled{Outcome::kNotRun});
  CHECK(fixture.request_count == 0);
}

TEST_CASE("a grant after the end of the threads is settled as not run") {
  CallFixture fixture(AnswerRan);
  RawConnection caller = fixture.proxy->Connect();
  caller.Send(kCommand);
  REQUIRE(fixture.claims.AwaitClaim());
  fixture.proxy.reset();
  fixture.claims.Answer(ClaimVerdict::kGranted);
  CHECK(fixture.claims.settled() == Settled{Outcome::kNotRun});
  CHECK(fixture.limits.inside == 0);
}

// The caller disconnects, or the process ends, while the endpoint handles the
// command. The command may complete there, so the key must stay blocked.
TEST_CASE("a grant whose call was sent and lost is settled as unknown") {
  for (const bool process_ends : {false, true}) {
    CAPTURE(process_ends);
    CallFixture fixture(NeverAnswer);
    RawConnection caller = fixture.proxy->Connect();
    caller.Send(kCommand);
    REQUIRE(fixture.claims.AwaitClaim());
    fixture.claims.Answer(ClaimVerdict::kGranted);
    REQUIRE(Eventually([&] { return fixture.request_count == 1; }));
    if (process_ends) {
      fixture.proxy.reset();
    } else {
      caller.Close();
    }
    CHECK(Eventually([&] { return !fixture.claims.settled().empty(); }));
    CHECK(Eventually([&] { return fixture.limits.inside == 0; }));
    CHECK(fixture.claims.settled() == Settled{Outcome::kUnknown});
  }
}

TEST_CASE("a granted call that finds no endpoint is settled as not run") {
  ScriptedClaimGate claims;
  ProxyFixture proxy({.endpoint_ports = {ClosedPort()}, .claims = &claims});
  RawConnection caller = proxy.Connect();
  caller.Send(kCommand);
  REQUIRE(claims.AwaitClaim());
  claims.Answer(ClaimVerdict::kGranted);
  CHECK(HeaderOf(caller.ReadMessage(), "Damasktack-Outcome") == "not-run");
  CHECK(claims.settled() == Settled{Outcome::kNotRun});
}

struct Verdict {
  ClaimVerdict verdict;
  std::optional<StoredAnswer> answer;
  int status;
  const char* outcome;
};

TEST_CASE("a call without a grant is not sent and its caller is told why") {
  const std::vector<Verdict> verdicts = {
      {ClaimVerdict::kAlreadyRan, StoredAnswer{201, "a/b", "earlier"}, 201,
       "complete"},
      {ClaimVerdict::kAlreadyRan, std::nullopt, 409, "unknown"},
      {ClaimVerdict::kInProgress, std::nullopt, 409, "unknown"},
      {ClaimVerdict::kMismatch, std::nullopt, 422, "not-run"},
      {ClaimVerdict::kUnavailable, std::nullopt, 503, "unknown"},
  };
  CallFixture fixture(AnswerRan);
  for (const Verdict& it : verdicts) {
    RawConnection caller = fixture.proxy->Connect();
    caller.Send(kCommand);
    REQUIRE(fixture.claims.AwaitClaim());
    fixture.claims.Answer(it.verdict, it.answer);
    const std::string answer = caller.ReadMessage();
    CHECK(StatusOf(answer) == it.status);
    CHECK(HeaderOf(answer, "Damasktack-Outcome") == it.outcome);
  }
  CHECK(fixture.request_count == 0);
  CHECK(fixture.claims.settled().empty());
  CHECK(fixture.limits.inside == 0);
}

TEST_CASE("a call over the limit is refused with the time to wait") {
  CallFixture fixture(AnswerRan);
  fixture.limits.refusing = true;
  const std::string answer = fixture.proxy->Ask(GetRequest("/a"));
  CHECK(StatusOf(answer) == 429);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "not-run");
  CHECK(HeaderOf(answer, "Retry-After") == "2");
  CHECK(fixture.limits.inside == 0);
  CHECK(fixture.request_count == 0);
}

TEST_CASE("an endpoint gets the remaining time and no foreign headers") {
  std::string request;
  const RawEndpoint endpoint([&](RawConnection& it) {
    request = it.ReadMessage();
    it.Send(OkAnswer("ran",
                     "Connection: X-Hop\r\nX-Hop: 1\r\nX-Kept: 1\r\n"
                     "Damasktack-Outcome: not-run\r\n"));
    it.WaitForHangUp();
  });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  const std::string answer = proxy.Ask(
      GetRequest("/a?b=c",
                 "Damasktack-Deadline-Ms: 900\r\nDamasktack-Depth: 3\r\n"
                 "Damasktack-Call: forged\r\nDamasktack-Other: forged\r\n"
                 "Connection: keep-alive, X-Own\r\nX-Own: 1\r\nX-Kept: 1\r\n"));
  CHECK(request.starts_with("GET /dispatch/a?b=c HTTP/1.1\r\n"));
  CHECK(HeaderOf(request, "Damasktack-Depth") == "4");
  CHECK(HeaderOf(request, "Damasktack-Attempt") == "1");
  CHECK(std::stoi(HeaderOf(request, "Damasktack-Deadline-Ms")) <= 900);
  CHECK(std::stoi(HeaderOf(request, "Damasktack-Deadline-Ms")) > 0);
  CHECK(HeaderOf(request, "X-Kept") == "1");
  CHECK(request.find("forged") == std::string::npos);
  CHECK(request.find("Damasktack-Key") == std::string::npos);
  CHECK(request.find("X-Own") == std::string::npos);
  CHECK(HeaderOf(answer, "X-Kept") == "1");
  CHECK(answer.find("X-Hop") == std::string::npos);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "complete");
  CHECK(HeaderOf(answer, "Damasktack-Call") ==
        HeaderOf(request, "Damasktack-Call"));
}

TEST_CASE("a target equal to the service's prefix maps to the path /") {
  CallFixture fixture(AnswerRan);
  CHECK(StatusOf(fixture.proxy->Ask(GetRequest(""))) == 200);
  CHECK(StatusOf(fixture.proxy->Ask(GetRequest("?plant=1"))) == 200);
}

TEST_CASE("a refusal states its kind, its remedy and the call's id") {
  CallFixture fixture(AnswerRan);
  const auto refused = [&](const std::string& request, int status,
                           const std::string& kind) {
    const std::string answer = fixture.proxy->Ask(request);
    CHECK(StatusOf(answer) == status);
    CHECK(HeaderOf(answer, "Damasktack-Outcome") == "not-run");
    const Json json = Json::parse(BodyOf(answer));
    CHECK(json["kind"] == kind);
    CHECK(!json["remedy"].get<std::string>().empty());
    CHECK(json["call"] == HeaderOf(answer, "Damasktack-Call"));
  };
  refused("GET /dispatch HTTP/1.1\r\nHost: h\r\n\r\n", 401, "unknown-customer");
  refused("GET /other HTTP/1.1\r\nHost: h\r\nDamasktack-Key: key\r\n\r\n", 403,
          "not-in-contract");
  refused(GetRequest("/a", "Damasktack-Depth: 32\r\n"), 508, "too-deep");
  refused(GetRequest("/a", "Damasktack-Deadline-Ms: 0\r\n"), 504, "deadline");
  CHECK(fixture.request_count == 0);
  CHECK(fixture.limits.inside == 0);
}

}  // namespace
}  // namespace damasktack
