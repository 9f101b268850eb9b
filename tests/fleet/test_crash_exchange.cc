#include "fleet/crash_exchange.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

#include "crash_star.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

const TimePoint kNow = TimePoint() + std::chrono::hours(10);
constexpr RequestFingerprint kCulprit{1};

EndpointProcess Endpoint(int n) {
  return {EndpointId("e" + std::to_string(n)), EndpointStart(seconds(n))};
}

// Three hosts see one crash each; none of them alone would refuse the request.
TEST_CASE("all hosts refuse a request that crashed endpoints of several") {
  Star star(20);
  star.Crash(Star::Follower(0), Endpoint(1), kCulprit);
  star.Crash(Star::Follower(1), Endpoint(2), kCulprit);
  CHECK(star.CountThatRefuse(kCulprit) == 0);
  star.Crash(Star::Follower(5), Endpoint(3), kCulprit);
  CHECK(star.CountThatRefuse(kCulprit) == star.hosts());
}

TEST_CASE("a host that starts hears which requests are refused") {
  Star star(4);
  for (int n = 0; n < 3; ++n) {
    star.Crash(Star::Follower(n), Endpoint(n), kCulprit);
  }
  star.Restart(Star::Follower(3), Star::Seed(1));
  star.Restart(Star::Seed(2), Star::Seed(0));
  CHECK(star.CountThatRefuse(kCulprit) == star.hosts());
}

TEST_CASE("an answer at one host clears the request at all") {
  Star star(6);
  for (int n = 0; n < 3; ++n) {
    star.Crash(Star::Follower(n), Endpoint(n), kCulprit);
  }
  star.Answer(Star::Follower(4), kCulprit);
  CHECK(star.CountThatRefuse(kCulprit) == 0);
}

// A common crash of endpoints leaves hundreds of bystanders. Told to everyone,
// each would cost a frame for each host.
TEST_CASE("messages on bystanders do not grow with the fleet") {
  constexpr int kCrashes = 100;
  const auto frames_for = [](int followers) {
    Star star(followers);
    for (int n = 0; n < kCrashes; ++n) {
      star.Crash(Star::Follower(n % followers), Endpoint(n),
                 RequestFingerprint{100U + static_cast<std::uint64_t>(n)});
    }
    return star.frames();
  };
  CHECK(frames_for(300) == frames_for(30));
  // To the seed, and from it to the two others, which pass it on to each other.
  CHECK(frames_for(300) <= 5 * kCrashes);
}

TEST_CASE("messages on a culprit are a few for each host") {
  Star star(300);
  for (int n = 0; n < 3; ++n) {
    star.Crash(Star::Follower(n), Endpoint(n), kCulprit);
  }
  constexpr int kMostFrames = 3;
  constexpr std::size_t kMostBytes = 1024;
  CHECK(star.frames() <= kMostFrames * star.hosts());
  CHECK(star.bytes() <= kMostBytes * static_cast<std::size_t>(star.hosts()));
}

HostView ViewOf(std::initializer_list<std::pair<const char*, Incarnation>> it) {
  HostView view;
  for (const auto& [name, incarnation] : it) {
    view.peers.push_back(
        {HostId(name), incarnation, ZoneId("z"), ListedState::kLive, true});
  }
  return view;
}

TEST_CASE("linked hosts tell each other what they saw, and new ones all") {
  RequestQuarantine quarantine;
  CrashExchange exchange(quarantine);
  Outbox out;
  exchange.OnView(ViewOf({{"a", 1}, {"b", 1}}), kNow, out);
  quarantine.OnBroken({kCulprit, Endpoint(1), kNow});
  quarantine.OnEndpointEnded(Endpoint(1));
  exchange.Tick(kNow, out);
  CHECK(out.Take().size() == 2);
  exchange.Tick(kNow, out);
  CHECK(out.Take().empty());
  // What a peer says is not passed on: it told the others itself.
  exchange.OnMessage(
      {HostId("a"), 1},
      CrashReport{{{kCulprit, Endpoint(2), Duration::zero()}}, {}}, kNow, out);
  CHECK(out.Take().empty());
  // A new process knows nothing.
  exchange.OnView(ViewOf({{"a", 1}, {"b", 2}}), kNow, out);
  const auto sent = out.Take();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].to == HostId("b"));
  CHECK(std::get<CrashReport>(sent[0].message).sightings.size() == 2);
}

TEST_CASE("a crash report survives the wire") {
  const CrashReport report{
      {{kCulprit, Endpoint(1), std::chrono::milliseconds(250)}},
      {{RequestFingerprint{~0ULL}, Duration::zero()}}};
  const auto decoded =
      Try([&] { return DecodePeerMessage(EncodePeerMessage(report)); },
          [](const Error& error) {
            FAIL(ToString(error));
            return std::optional<PeerMessage>();
          });
  REQUIRE(decoded);
  CHECK(std::get<CrashReport>(*decoded) == report);
}

// Endpoints that break thousands of calls a second, and a host without peers.
TEST_CASE("checks and what waits for peers are bounded") {
  RequestQuarantine quarantine;
  int checks = 0;
  for (int n = 0; n < 10'000; ++n) {
    const RequestFingerprint request{static_cast<std::uint64_t>(n)};
    checks += quarantine.OnBroken({request, Endpoint(n), kNow}) ? 1 : 0;
    quarantine.OnEndpointEnded(Endpoint(n));
  }
  CHECK(checks <= static_cast<int>(RequestQuarantine::kCheckBurst));
  CHECK(quarantine.TakeUpdates().sightings.size() <=
        static_cast<std::size_t>(RequestQuarantine::kCheckBurst));
}

}  // namespace
}  // namespace damasktack
