#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "core/random.h"
#include "crash_star.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

// Simulates the load of a service with fifteen endpoints of six slots each.
// Every caller repeats its own request every two seconds, and one request
// crashes every endpoint that runs it. Requests arrive at random hosts.
class CrashReplay {
 public:
  explicit CrashReplay(std::uint64_t seed) : random_(seed), star_(kFollowers) {
    for (int n = 0; n < kEndpoints; ++n) {
      endpoints_.push_back({Process(n), star_.now()});
    }
    for (int n = 0; n < kCallers; ++n) {
      next_[Caller(n)] = star_.now() + RandomBelow(kCallInterval);
    }
    next_[kCulprit] = star_.now() + RandomBelow(kCulpritInterval);
  }

  void Run(Duration time) {
    const TimePoint end = star_.now() + time;
    while (star_.now() < end) {
      star_.AdvanceTime(kStep);
      EndCalls();
      EndChecks();
      BeginCalls();
    }
  }

  int crashes() const { return crashes_; }
  // Calls other than the crashing request that were refused, and that were
  // answered.
  int wrongly_refused() const { return wrongly_refused_; }
  int answered() const { return answered_; }
  bool AllRefuse() {
    return star_.CountHostsThatRefuse(kCulprit) == star_.hosts();
  }

 private:
  static constexpr int kFollowers = 14;
  static constexpr int kEndpoints = 15;
  static constexpr std::size_t kSlots = 6;
  static constexpr int kCallers = 450;
  static constexpr RequestFingerprint kCulprit{1};
  static constexpr milliseconds kStep{10};
  static constexpr milliseconds kCallInterval{2000};
  static constexpr milliseconds kCulpritInterval{600};
  static constexpr milliseconds kRunTime{160};
  static constexpr milliseconds kTimeToCrash{80};
  static constexpr milliseconds kRestartTime{3000};
  static constexpr milliseconds kCheckTime{200};

  struct Call {
    RequestFingerprint request;
    HostId host;
    std::size_t endpoint = 0;
    TimePoint ends;
    bool is_retry = false;
  };
  struct Endpoint {
    EndpointProcess process;
    TimePoint up_at;
  };
  struct Check {
    HostId host;
    EndpointProcess endpoint;
    TimePoint ends;
  };

  static EndpointProcess Process(int n) {
    return {EndpointId("e" + std::to_string(n)), {}};
  }
  static RequestFingerprint Caller(int n) {
    return {100U + static_cast<std::uint64_t>(n)};
  }
  Duration RandomBelow(Duration time) {
    constexpr std::uint32_t kResolution = 1000;
    return time * UniformBelow(random_, kResolution) / kResolution;
  }
  HostId RandomHost() {
    return Star::Follower(static_cast<int>(UniformBelow(random_, kFollowers)));
  }

  std::size_t CallsAt(std::size_t endpoint) const {
    std::size_t n = 0;
    for (const Call& it : calls_) {
      n += it.endpoint == endpoint ? 1 : 0;
    }
    return n;
  }

  void Send(RequestFingerprint request, const HostId& host, bool is_retry) {
    std::vector<std::size_t> free;
    for (std::size_t n = 0; n < endpoints_.size(); ++n) {
      if (endpoints_[n].up_at <= star_.now() && CallsAt(n) < kSlots) {
        free.push_back(n);
      }
    }
    if (free.empty()) {
      return;
    }
    const std::size_t endpoint =
        free[UniformBelow(random_, static_cast<std::uint32_t>(free.size()))];
    const Duration runs = request == kCulprit ? kTimeToCrash : kRunTime;
    calls_.push_back({request, host, endpoint, star_.now() + runs, is_retry});
  }

  void BeginCalls() {
    for (auto& [request, at] : next_) {
      if (star_.now() < at) {
        continue;
      }
      at = star_.now() +
           (request == kCulprit ? kCulpritInterval : kCallInterval);
      const HostId host = RandomHost();
      if (star_.Judge(host, request) == Suspicion::kQuarantined) {
        wrongly_refused_ += request == kCulprit ? 0 : 1;
        continue;
      }
      Send(request, host, false);
    }
  }

  void EndCalls() {
    const auto is_crash = [&](const Call& it) {
      return it.request == kCulprit && it.ends <= star_.now();
    };
    for (auto it = std::ranges::find_if(calls_, is_crash); it != calls_.end();
         it = std::ranges::find_if(calls_, is_crash)) {
      Crash(it->endpoint);
    }
    for (std::size_t n = 0; n < calls_.size();) {
      if (calls_[n].ends > star_.now()) {
        ++n;
        continue;
      }
      ++answered_;
      star_.Answer(calls_[n].host, calls_[n].request);
      calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(n));
    }
  }

  // Breaks all calls at the endpoint. Each host retries its calls once, except
  // those that are suspected already.
  void Crash(std::size_t endpoint) {
    ++crashes_;
    endpoints_[endpoint].up_at = star_.now() + kRestartTime;
    std::vector<Call> broken;
    std::erase_if(calls_, [&](const Call& it) {
      if (it.endpoint == endpoint) {
        broken.push_back(it);
      }
      return it.endpoint == endpoint;
    });
    const EndpointProcess& process = endpoints_[endpoint].process;
    for (const Call& it : broken) {
      const bool is_suspected =
          star_.Judge(it.host, it.request) != Suspicion::kNone;
      star_.BreakConnection(it.host, process, it.request);
      checks_.push_back({it.host, process, star_.now() + kCheckTime});
      if (!it.is_retry && !is_suspected) {
        Send(it.request, it.host, true);
      }
    }
  }

  void EndChecks() {
    std::erase_if(checks_, [&](const Check& it) {
      const bool is_due = it.ends <= star_.now();
      if (is_due) {
        star_.EndCheck(it.host, it.endpoint);
      }
      return is_due;
    });
  }

  Random random_;
  Star star_;
  std::vector<Endpoint> endpoints_;
  std::vector<Call> calls_;
  std::vector<Check> checks_;
  std::map<RequestFingerprint, TimePoint> next_;
  int crashes_ = 0;
  int wrongly_refused_ = 0;
  int answered_ = 0;
};

// The crashing request must be refused after few crashes, while requests that
// only ran on the same endpoints are still served.
TEST_CASE("a crashing request is refused and no other request is") {
  constexpr int kMaxCrashes = 6;
  constexpr int kMinAnswered = 6000;
  // Each simulation logs dozens of lines.
  const auto level = spdlog::get_level();
  spdlog::set_level(spdlog::level::off);
  rc::check([=] {
    CrashReplay replay(*rc::gen::arbitrary<std::uint64_t>());
    replay.Run(std::chrono::seconds(30));
    RC_ASSERT(replay.AllRefuse());
    RC_ASSERT(replay.crashes() <= kMaxCrashes);
    RC_ASSERT(replay.wrongly_refused() == 0);
    RC_ASSERT(replay.answered() >= kMinAnswered);
  });
  spdlog::set_level(level);
}

}  // namespace
}  // namespace damasktack
