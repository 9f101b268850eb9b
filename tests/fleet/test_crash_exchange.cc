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

// Three hosts observe one crash each, which is too little evidence for any of
// them alone to refuse the request.
TEST_CASE("all hosts refuse a request whose crashes several hosts reported") {
  Star star(20);
  star.Crash(Star::Follower(0), Endpoint(1), kCulprit);
  star.Crash(Star::Follower(1), Endpoint(2), kCulprit);
  CHECK(star.CountHostsThatRefuse(kCulprit) == 0);
  star.Crash(Star::Follower(5), Endpoint(3), kCulprit);
  CHECK(star.CountHostsThatRefuse(kCulprit) == star.hosts());
}

TEST_CASE("a starting host receives the evidence on quarantined requests") {
  Star star(4);
  for (int n = 0; n < 3; ++n) {
    star.Crash(Star::Follower(n), Endpoint(n), kCulprit);
  }
  star.Restart(Star::Follower(3), Star::Seed(1));
  star.Restart(Star::Seed(2), Star::Seed(0));
  CHECK(star.CountHostsThatRefuse(kCulprit) == star.hosts());
}

TEST_CASE("an answer received by one host clears the request on all hosts") {
  Star star(6);
  for (int n = 0; n < 3; ++n) {
    star.Crash(Star::Follower(n), Endpoint(n), kCulprit);
  }
  star.Answer(Star::Follower(4), kCulprit);
  CHECK(star.CountHostsThatRefuse(kCulprit) == 0);
}

// Frequent crashes of endpoints produce hundreds of suspects that are not the
// cause. If each were reported to every host, each would cost one frame per
// host.
TEST_CASE("messages on requests with one crash do not grow with the fleet") {
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
  // One to the seed, two from it to the other seeds, and two that these relay
  // to each other.
  CHECK(frames_for(300) <= 5 * kCrashes);
}

TEST_CASE("messages on a quarantined request are few per host") {
  Star star(300);
  for (int n = 0; n < 3; ++n) {
    star.Crash(Star::Follower(n), Endpoint(n), kCulprit);
  }
  constexpr int kMaxFramesPerHost = 3;
  constexpr std::size_t kMaxBytesPerHost = 1024;
  CHECK(star.frames() <= kMaxFramesPerHost * star.hosts());
  CHECK(star.bytes() <=
        kMaxBytesPerHost * static_cast<std::size_t>(star.hosts()));
}

HostView ViewOf(std::initializer_list<std::pair<const char*, Incarnation>> it) {
  HostView view;
  for (const auto& [name, incarnation] : it) {
    view.peers.push_back(
        {HostId(name), incarnation, ZoneId("z"), ListedState::kLive, true});
  }
  return view;
}

TEST_CASE(
    "hosts in a mesh share their own findings, and all evidence with new "
    "peers") {
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
  // A peer's report is not relayed, as the peer sends it to all hosts itself.
  exchange.OnMessage(
      {HostId("a"), 1},
      CrashReport{{{kCulprit, Endpoint(2), Duration::zero()}}, {}}, kNow, out);
  CHECK(out.Take().empty());
  // A restarted process has no evidence, so it gets all.
  exchange.OnView(ViewOf({{"a", 1}, {"b", 2}}), kNow, out);
  const auto sent = out.Take();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].to == HostId("b"));
  CHECK(std::get<CrashReport>(sent[0].message).observations.size() == 2);
}

TEST_CASE("a crash report is decoded as it was encoded") {
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

// Endpoints break thousands of connections per second, and the host has no
// peers that take its updates.
TEST_CASE("endpoint checks and updates waiting for peers are bounded") {
  RequestQuarantine quarantine;
  int checks = 0;
  for (int n = 0; n < 10'000; ++n) {
    const RequestFingerprint request{static_cast<std::uint64_t>(n)};
    checks += quarantine.OnBroken({request, Endpoint(n), kNow}) ? 1 : 0;
    quarantine.OnEndpointEnded(Endpoint(n));
  }
  CHECK(checks <= static_cast<int>(RequestQuarantine::kCheckBurst));
  CHECK(quarantine.TakeUpdates().observations.size() <=
        static_cast<std::size_t>(RequestQuarantine::kCheckBurst));
}

}  // namespace
}  // namespace damasktack
