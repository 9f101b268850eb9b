#include "policy/endpoint_limits.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr EndpointIndex kEndpoint = 0;
constexpr std::size_t kEndpoints = 15;

EndpointLimits MakeHost(const std::string& name, int hosts, TimePoint now) {
  EndpointLimits host{HostId(name)};
  host.SetService(kEndpoints, hosts, now);
  host.OnAdded(kEndpoint, EndpointId("e"));
  return host;
}

// One endpoint with a limit and hosts that always have a call for it, of which
// some start again, freeze, leave or lose their peers for a while.
class LimitedPlay {
 public:
  LimitedPlay(int hosts, double limit) : limit_(limit) {
    for (int n = 0; n < hosts; ++n) {
      hosts_.push_back({MakeHost(Name(n), hosts, kStart), kStart});
    }
  }

  void Restart(std::size_t n) {
    hosts_[n] = {MakeHost(Name(static_cast<int>(n)), 1, now_),
                 now_ + kUntilInTouch};
    hosts_[n].learns_at = now_ + milliseconds(500);
    // Its peers tell it how many they are.
    hosts_[n].cut_until = now_ + seconds(1);
  }
  void Freeze(std::size_t n, Duration time) {
    hosts_[n].frozen_until = now_ + time;
    hosts_[n].excused_until = now_ + time + kUntilInTouch;
  }
  void Leave(std::size_t n) {
    hosts_[n].frozen_until = TimePoint::max();
    for (Host& it : hosts_) {
      it.restraints.SetService(
          kEndpoints, static_cast<std::int64_t>(hosts_.size()) - 1, now_);
    }
  }
  // The host has no peers for a while.
  void Cut(std::size_t n, Duration time) {
    hosts_[n].restraints.SetService(kEndpoints, 1, now_);
    hosts_[n].cut_until = now_ + time;
  }

  void Run(Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;
         now_ += milliseconds(20)) {
      for (Host& it : hosts_) {
        Step(it);
      }
      while (!sends_.empty() && now_ - sends_.front() >= seconds(4)) {
        sends_.pop_front();
      }
      worst_ = std::max(worst_, sends_.size());
    }
  }

  // The most requests within four seconds, from hosts that are not excused.
  std::size_t worst() const { return worst_; }
  double most() const { return 1.5 * limit_ * 4 + 5; }

 private:
  static constexpr seconds kUntilInTouch{3};

  struct Host {
    EndpointLimits restraints;
    TimePoint excused_until;
    TimePoint frozen_until = {};
    TimePoint cut_until = {};
    // When the answer to its first request tells it of the limit.
    TimePoint learns_at = {};
    bool knows = false;
  };

  static std::string Name(int n) { return "h" + std::to_string(n); }

  void Step(Host& host) {
    if (now_ < host.frozen_until) {
      return;
    }
    if (host.cut_until != TimePoint() && now_ >= host.cut_until) {
      host.cut_until = TimePoint();
      host.restraints.SetService(
          kEndpoints, static_cast<std::int64_t>(hosts_.size()), now_);
    }
    if (!host.knows && now_ >= host.learns_at) {
      host.knows = true;
      host.restraints.OnAnswer(kEndpoint, {.rate_limit = limit_}, now_, now_);
    }
    if (!host.knows || !host.restraints.CanAcceptCall(kEndpoint, now_)) {
      return;
    }
    host.restraints.OnSend(kEndpoint, now_);
    if (now_ >= host.excused_until) {
      sends_.push_back(now_);
    }
  }

  const double limit_;
  TimePoint now_ = kStart;
  std::vector<Host> hosts_;
  std::deque<TimePoint> sends_;
  std::size_t worst_ = 0;
};

// Guards against hosts that each take all of a stated limit, or save up unused
// parts of it.
TEST_CASE("hosts that know a limit together send no more than it allows") {
  const bool ok = rc::check([] {
    const int hosts = *rc::gen::element(1, 3, 17, 124, 472);
    const double limit = *rc::gen::inRange(0, 60) / 10.0;
    LimitedPlay play(hosts, limit);
    play.Run(seconds(60));
    RC_ASSERT(static_cast<double>(play.worst()) <= play.most());
  });
  CHECK(ok);
}

// The same while hosts start again, freeze, leave or lose their peers.
TEST_CASE("hosts that come and go together send no more than a limit allows") {
  const bool ok = rc::check([] {
    const int hosts = *rc::gen::inRange(5, 60);
    LimitedPlay play(hosts, *rc::gen::inRange(5, 60) / 10.0);
    const auto any =
        rc::gen::inRange<std::size_t>(0, static_cast<std::size_t>(hosts));
    for (int n = 0; n < 10; ++n) {
      play.Run(milliseconds(*rc::gen::inRange(0, 4000)));
      play.Restart(*any);
      play.Freeze(*any, milliseconds(*rc::gen::inRange(100, 5000)));
      play.Cut(*any, milliseconds(*rc::gen::inRange(100, 25'000)));
    }
    play.Leave(*any);
    play.Run(seconds(10));
    RC_ASSERT(static_cast<double>(play.worst()) <= play.most());
  });
  CHECK(ok);
}

TEST_CASE("an answer without the limit takes it back") {
  EndpointLimits host = MakeHost("h", 1000, kStart);
  host.OnAnswer(kEndpoint, {.rate_limit = 1}, kStart, kStart + seconds(1));
  CHECK(host.rate_limit(kEndpoint) == 1);
  host.OnAnswer(kEndpoint, {}, kStart + seconds(2), kStart + seconds(3));
  CHECK_FALSE(host.rate_limit(kEndpoint));
  CHECK(host.CanAcceptCall(kEndpoint, kStart + seconds(3)));
}

// Guards against an answer that was under way when the endpoint began to state
// its limit.
TEST_CASE("an answer to an earlier request does not take the limit back") {
  EndpointLimits host = MakeHost("h", 1000, kStart);
  host.OnAnswer(kEndpoint, {.rate_limit = 1}, kStart, kStart + seconds(1));
  host.OnAnswer(kEndpoint, {}, kStart, kStart + seconds(2));
  CHECK(host.rate_limit(kEndpoint) == 1);
}

// A probe may be answered by another part of the endpoint than calls are.
TEST_CASE("the answer to a probe states a limit and takes none back") {
  EndpointLimits host = MakeHost("h", 1000, kStart);
  host.OnProbeAnswer(kEndpoint, {.rate_limit = 1}, kStart);
  host.OnProbeAnswer(kEndpoint, {}, kStart + seconds(1));
  CHECK(host.rate_limit(kEndpoint) == 1);
}

// Guards against an endpoint that is called again within the rest that it asked
// for, whatever its other answers say.
TEST_CASE("an endpoint that asked for rest gets nothing until it is over") {
  EndpointLimits host = MakeHost("h", 1, kStart);
  host.OnAnswer(kEndpoint, {.rest = seconds(3)}, kStart, kStart);
  host.OnAnswer(kEndpoint, {.rest = seconds(1)}, kStart, kStart);
  host.OnAnswer(kEndpoint, {}, kStart, kStart + seconds(1));
  CHECK_FALSE(host.CanAcceptCall(kEndpoint, kStart + milliseconds(2999)));
  CHECK(host.IsPaused(kEndpoint, kStart + milliseconds(2999)));
  CHECK(host.CanAcceptCall(kEndpoint, kStart + seconds(3)));
  CHECK(host.AvailableAt(kEndpoint, kStart, kStart + seconds(9)) ==
        kStart + seconds(3));
  CHECK(host.AvailableAt(kEndpoint, kStart, kStart + seconds(2)) ==
        kStart + seconds(2));
}

TEST_CASE("after its rest an endpoint still has its limit") {
  EndpointLimits host = MakeHost("h", 1000, kStart);
  host.OnAnswer(kEndpoint, {.rate_limit = 0, .rest = seconds(3)}, kStart,
                kStart);
  const TimePoint latest = kStart + seconds(60);
  const TimePoint opens_at = host.AvailableAt(kEndpoint, kStart, latest);
  CHECK(opens_at >= kStart + seconds(3));
  CHECK((opens_at == latest || host.CanAcceptCall(kEndpoint, opens_at)));
}

TEST_CASE("another process at the index has no limit and no rest") {
  EndpointLimits host = MakeHost("h", 1000, kStart);
  host.OnAnswer(kEndpoint, {.rate_limit = 1, .rest = seconds(9)}, kStart,
                kStart);
  host.OnAdded(kEndpoint, EndpointId("other"));
  CHECK_FALSE(host.rate_limit(kEndpoint));
  CHECK(host.CanAcceptCall(kEndpoint, kStart));
}

// Guards against an endpoint that is never asked again after it took nothing
// for a while.
TEST_CASE("an endpoint that takes nothing is asked now and then") {
  LimitedPlay play(3, 0);
  play.Run(seconds(120));
  CHECK(play.worst() >= 1);
  CHECK(static_cast<double>(play.worst()) <= play.most());
}

}  // namespace
}  // namespace damasktack
