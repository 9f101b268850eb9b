#include "fleet/crash_exchange.h"

#include <doctest/doctest.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "fleet/peer_codec.h"

namespace damasktack {
namespace {

using std::chrono::seconds;

const TimePoint kNow = TimePoint() + std::chrono::hours(10);
constexpr RequestFingerprint kCulprit{1};

EndpointProcess Endpoint(int n) {
  return {EndpointId("e" + std::to_string(n)), EndpointStart(seconds(n))};
}

// Hosts that follow three seeds in turn, as in a fleet that reads a store.
class Star {
 public:
  explicit Star(int followers) {
    for (int n = 0; n < kSeeds; ++n) {
      Add(Seed(n));
    }
    for (int n = 0; n < kSeeds; ++n) {
      for (int other = 0; other < n; ++other) {
        Link(Seed(n), Seed(other));
      }
    }
    for (int n = 0; n < followers; ++n) {
      Add(Follower(n));
      Link(Follower(n), Seed(n % kSeeds));
    }
  }

  static HostId Seed(int n) { return HostId("s" + std::to_string(n)); }
  static HostId Follower(int n) { return HostId("f" + std::to_string(n)); }

  void Link(const HostId& a, const HostId& b) {
    Meet(a, b);
    Meet(b, a);
    Deliver();
  }
  void Restart(const HostId& host, const HostId& seed) {
    hosts_.erase(host);
    for (auto& [name, it] : hosts_) {
      it->exchange.OnPeerGone(host);
    }
    Add(host);
    Link(host, seed);
  }
  // An endpoint ends while the host has the request there.
  void Crash(const HostId& host, int endpoint, RequestFingerprint request) {
    Host& it = *hosts_.at(host);
    it.quarantine.OnBroken({request, Endpoint(endpoint), kNow});
    it.quarantine.OnEndpointEnded(Endpoint(endpoint));
    Share(host);
  }
  void Answer(const HostId& host, RequestFingerprint request) {
    hosts_.at(host)->quarantine.OnAnswered(request, kNow);
    Share(host);
  }

  int CountThatRefuse(RequestFingerprint request) {
    int count = 0;
    for (auto& [name, it] : hosts_) {
      const auto judgement = it->quarantine.Judge(request, kNow);
      count += judgement.suspicion == Suspicion::kQuarantined ? 1 : 0;
    }
    return count;
  }
  int hosts() const { return static_cast<int>(hosts_.size()); }
  int frames() const { return frames_; }
  std::size_t bytes() const { return bytes_; }

 private:
  static constexpr int kSeeds = 3;

  struct Host {
    RequestQuarantine quarantine;
    CrashExchange exchange{quarantine};
  };
  struct Frame {
    HostId from;
    HostId to;
    CrashReport report;
  };

  void Add(const HostId& host) { hosts_[host] = std::make_unique<Host>(); }
  void Meet(const HostId& host, const HostId& peer) {
    const bool is_seed = peer.text().starts_with("s");
    Outbox out;
    hosts_.at(host)->exchange.OnPeer(
        peer, is_seed ? CrashListener::kSeed : CrashListener::kFollower, kNow,
        out);
    Send(host, out);
  }
  void Share(const HostId& host) {
    Outbox out;
    hosts_.at(host)->exchange.Share(kNow, out);
    Send(host, out);
    Deliver();
  }
  void Send(const HostId& from, Outbox& out) {
    for (Outbox::Item& it : out.Take()) {
      ++frames_;
      bytes_ += EncodePeerMessage(it.message).size();
      queue_.push_back({from, it.to, std::get<CrashReport>(it.message)});
    }
  }
  void Deliver() {
    while (!queue_.empty()) {
      const Frame frame = std::move(queue_.front());
      queue_.pop_front();
      Outbox out;
      hosts_.at(frame.to)->exchange.OnReport(frame.from, frame.report, kNow,
                                             out);
      Send(frame.to, out);
    }
  }

  std::map<HostId, std::unique_ptr<Host>> hosts_;
  std::deque<Frame> queue_;
  int frames_ = 0;
  std::size_t bytes_ = 0;
};

// Three hosts see one crash each; none of them alone would refuse the request.
TEST_CASE("all hosts refuse a request that crashed endpoints of several") {
  Star star(20);
  star.Crash(Star::Follower(0), 1, kCulprit);
  star.Crash(Star::Follower(1), 2, kCulprit);
  CHECK(star.CountThatRefuse(kCulprit) == 0);
  star.Crash(Star::Follower(5), 3, kCulprit);
  CHECK(star.CountThatRefuse(kCulprit) == star.hosts());
}

TEST_CASE("a host that starts hears which requests are refused") {
  Star star(4);
  for (int n = 0; n < 3; ++n) {
    star.Crash(Star::Follower(n), n, kCulprit);
  }
  star.Restart(Star::Follower(3), Star::Seed(1));
  star.Restart(Star::Seed(2), Star::Seed(0));
  CHECK(star.CountThatRefuse(kCulprit) == star.hosts());
}

TEST_CASE("an answer at one host clears the request at all") {
  Star star(6);
  for (int n = 0; n < 3; ++n) {
    star.Crash(Star::Follower(n), n, kCulprit);
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
      star.Crash(Star::Follower(n % followers), n,
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
    star.Crash(Star::Follower(n), n, kCulprit);
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
  CHECK(checks <= static_cast<int>(RequestQuarantine::kChecksAtOnce));
  CHECK(quarantine.TakeNews().sightings.size() <=
        static_cast<std::size_t>(RequestQuarantine::kChecksAtOnce));
}

}  // namespace
}  // namespace damasktack
