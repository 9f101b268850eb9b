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

// Simulates one endpoint with a limit and hosts that always have a call for it.
// Some of the hosts restart, freeze, leave or lose contact with their peers for
// a while.
class LimitSimulation {
 public:
  LimitSimulation(int hosts, double limit) : limit_(limit) {
    for (int n = 0; n < hosts; ++n) {
      hosts_.push_back({MakeHost(Name(n), hosts, kStart), kStart});
    }
  }

  void Restart(std::size_t n) {
    hosts_[n] = {MakeHost(Name(static_cast<int>(n)), 1, now_),
                 now_ + kReconnectTime};
    hosts_[n].limit_known_at = now_ + milliseconds(500);
    // Its peers tell it the size of the fleet.
    hosts_[n].disconnected_until = now_ + seconds(1);
  }
  void Freeze(std::size_t n, Duration time) {
    hosts_[n].frozen_until = now_ + time;
    hosts_[n].excused_until = now_ + time + kReconnectTime;
  }
  void Leave(std::size_t n) {
    hosts_[n].frozen_until = TimePoint::max();
    for (Host& it : hosts_) {
      it.restraints.SetService(
          kEndpoints, static_cast<std::int64_t>(hosts_.size()) - 1, now_);
    }
  }
  // Disconnects the host from its peers for a while.
  void Disconnect(std::size_t n, Duration time) {
    hosts_[n].restraints.SetService(kEndpoints, 1, now_);
    hosts_[n].disconnected_until = now_ + time;
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
      peak_ = std::max(peak_, sends_.size());
    }
  }

  // Maximum of requests within four seconds, from hosts that are not excused.
  std::size_t peak() const { return peak_; }
  double max_requests() const { return 1.5 * limit_ * 4 + 5; }

 private:
  static constexpr seconds kReconnectTime{3};

  struct Host {
    EndpointLimits restraints;
    TimePoint excused_until;
    TimePoint frozen_until = {};
    TimePoint disconnected_until = {};
    // Time at which the answer to its first request states the limit.
    TimePoint limit_known_at = {};
    bool knows = false;
  };

  static std::string Name(int n) { return "h" + std::to_string(n); }

  void Step(Host& host) {
    if (now_ < host.frozen_until) {
      return;
    }
    if (host.disconnected_until != TimePoint() &&
        now_ >= host.disconnected_until) {
      host.disconnected_until = TimePoint();
      host.restraints.SetService(
          kEndpoints, static_cast<std::int64_t>(hosts_.size()), now_);
    }
    if (!host.knows && now_ >= host.limit_known_at) {
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
  std::size_t peak_ = 0;
};

// Guards against hosts that each use the whole of a stated limit, or save up
// unused parts of it.
TEST_CASE("hosts that know a limit stay within it together") {
  const bool ok = rc::check([] {
    const int hosts = *rc::gen::element(1, 3, 17, 124, 472);
    const double limit = *rc::gen::inRange(0, 60) / 10.0;
    LimitSimulation simulation(hosts, limit);
    simulation.Run(seconds(60));
    RC_ASSERT(static_cast<double>(simulation.peak()) <=
              simulation.max_requests());
  });
  CHECK(ok);
}

// The same while hosts restart, freeze, leave or lose contact with their peers.
TEST_CASE("hosts stay within a limit together while the fleet changes") {
  const bool ok = rc::check([] {
    const int hosts = *rc::gen::inRange(5, 60);
    LimitSimulation simulation(hosts, *rc::gen::inRange(5, 60) / 10.0);
    const auto any =
        rc::gen::inRange<std::size_t>(0, static_cast<std::size_t>(hosts));
    for (int n = 0; n < 10; ++n) {
      simulation.Run(milliseconds(*rc::gen::inRange(0, 4000)));
      simulation.Restart(*any);
      simulation.Freeze(*any, milliseconds(*rc::gen::inRange(100, 5000)));
      simulation.Disconnect(*any, milliseconds(*rc::gen::inRange(100, 25'000)));
    }
    simulation.Leave(*any);
    simulation.Run(seconds(10));
    RC_ASSERT(static_cast<double>(simulation.peak()) <=
              simulation.max_requests());
  });
  CHECK(ok);
}

TEST_CASE("an answer without the limit withdraws it") {
  EndpointLimits host = MakeHost("h", 1000, kStart);
  host.OnAnswer(kEndpoint, {.rate_limit = 1}, kStart, kStart + seconds(1));
  CHECK(host.rate_limit(kEndpoint) == 1);
  host.OnAnswer(kEndpoint, {}, kStart + seconds(2), kStart + seconds(3));
  CHECK_FALSE(host.rate_limit(kEndpoint));
  CHECK(host.CanAcceptCall(kEndpoint, kStart + seconds(3)));
}

// Guards against an answer that was in flight when the endpoint began to state
// its limit.
TEST_CASE("an answer to an earlier request does not withdraw the limit") {
  EndpointLimits host = MakeHost("h", 1000, kStart);
  host.OnAnswer(kEndpoint, {.rate_limit = 1}, kStart, kStart + seconds(1));
  host.OnAnswer(kEndpoint, {}, kStart, kStart + seconds(2));
  CHECK(host.rate_limit(kEndpoint) == 1);
}

// A probe may be answered by a different component of the endpoint than calls
// are.
TEST_CASE("an answer to a probe can state a limit but not withdraw it") {
  EndpointLimits host = MakeHost("h", 1000, kStart);
  host.OnProbeAnswer(kEndpoint, {.rate_limit = 1}, kStart);
  host.OnProbeAnswer(kEndpoint, {}, kStart + seconds(1));
  CHECK(host.rate_limit(kEndpoint) == 1);
}

// Guards against requests to an endpoint within the pause that it asked for,
// whatever its other answers state.
TEST_CASE("an endpoint that asked for a pause gets no requests until it ends") {
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

TEST_CASE("an endpoint still has its limit after its pause") {
  EndpointLimits host = MakeHost("h", 1000, kStart);
  host.OnAnswer(kEndpoint, {.rate_limit = 0, .rest = seconds(3)}, kStart,
                kStart);
  const TimePoint latest = kStart + seconds(60);
  const TimePoint available_at = host.AvailableAt(kEndpoint, kStart, latest);
  CHECK(available_at >= kStart + seconds(3));
  CHECK(
      (available_at == latest || host.CanAcceptCall(kEndpoint, available_at)));
}

TEST_CASE("a new process at the index has no limit and no pause") {
  EndpointLimits host = MakeHost("h", 1000, kStart);
  host.OnAnswer(kEndpoint, {.rate_limit = 1, .rest = seconds(9)}, kStart,
                kStart);
  host.OnAdded(kEndpoint, EndpointId("other"));
  CHECK_FALSE(host.rate_limit(kEndpoint));
  CHECK(host.CanAcceptCall(kEndpoint, kStart));
}

// Guards against an endpoint that never receives a request again after a limit
// of zero.
TEST_CASE("an endpoint with a limit of zero still gets occasional requests") {
  LimitSimulation simulation(3, 0);
  simulation.Run(seconds(120));
  CHECK(simulation.peak() >= 1);
  CHECK(static_cast<double>(simulation.peak()) <= simulation.max_requests());
}

}  // namespace
}  // namespace damasktack
