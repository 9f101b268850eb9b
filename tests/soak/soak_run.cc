#include "tests/soak/soak_run.h"

#include <httplib.h>

#include <algorithm>

namespace damasktack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kShortestFault = milliseconds(150);
constexpr int kMoreFaultMs = 2500;
constexpr int kLongestGapMs = 500;
constexpr int kLongestDelayMs = 120;
// From when on the promises with a time bound hold again, and that bound.
constexpr Duration kUntilWell = milliseconds(4500);
constexpr Duration kInForce = milliseconds(2000);
// Endpoints become cold all together or some of them, after such times.
constexpr double kColdPart = 0.4;
constexpr Duration kShortestWarm = milliseconds(500);
constexpr std::uint64_t kMoreWarmMs = 5000;
constexpr double kColdCallsPerSecond = 60;
// A stated rate limit, when it is in force at all hosts, and what may come
// within the time in which it is looked at.
constexpr int kRateLimit = 1;
constexpr Duration kUntilLimited = seconds(3);
constexpr seconds kLimitedFor(4);
constexpr double kMostLimited = 1.5 * kRateLimit * kLimitedFor.count() + 5;
// Of the calls of a calm second; a busy machine delays some.
constexpr double kLeastServed = 0.9;
// Endpoints that one request may end in a calm: three show what it does, and
// it may be sent three times more. In the trouble before, hosts lose what they
// knew of it.
constexpr int kMostCrashes = 6;

int StatusOf(const SocketAddress& at, const std::string& path) {
  httplib::Client client(at.ip, at.port);
  client.set_connection_timeout(seconds(2));
  client.set_read_timeout(seconds(3));
  const auto answer = client.Get(path, {{"Host", "soak.example"},
                                        {"X-Damasktack-Request-Id", "check"},
                                        {"X-Damasktack-Deadline-Ms", "2000"}});
  return answer ? answer->status : 0;
}

}  // namespace

SoakRun::SoakRun(const SoakPlan& plan)
    : plan_(plan),
      random_(plan.seed),
      fleet_(plan.size, ledger_),
      cold_random_(plan.seed),
      returns_(fleet_, plan.seed) {
  ledger_.Sent("check", true);
}

int SoakRun::Draw(int below) {
  return static_cast<int>(random_() % static_cast<std::uint64_t>(below));
}

void SoakRun::HealAfter(std::function<void()> action) {
  const Duration length = kShortestFault + milliseconds(Draw(kMoreFaultMs));
  heals_.push_back({Clock::now() + length, std::move(action)});
}

void SoakRun::HealDue(TimePoint now) {
  std::vector<Heal> due;
  std::erase_if(heals_, [&](Heal& it) {
    const bool is_due = it.due <= now;
    if (is_due) {
      due.push_back(std::move(it));
    }
    return is_due;
  });
  for (const Heal& it : due) {
    it.action();
  }
}

void SoakRun::HealAll() {
  HealDue(TimePoint::max());
}

void SoakRun::BeginLinkFault() {
  const auto way = static_cast<SoakFleet::Way>(Draw(4));
  const auto fault = static_cast<LinkFault>(1 + Draw(5));
  const int n = Draw(way == SoakFleet::Way::kEndpoint ? fleet_.endpoints()
                                                      : fleet_.hosts());
  fleet_.SetFault(way, n, fault, milliseconds(Draw(kLongestDelayMs)));
  HealAfter([this, way, n] {
    fleet_.SetFault(way, n, LinkFault::kNone, Duration::zero());
  });
}

void SoakRun::BeginHostFault() {
  const int host = Draw(fleet_.hosts());
  switch (Draw(5)) {
    case 0:
      fleet_.Kill(host);
      break;
    case 1:
      fleet_.Terminate(host);
      break;
    case 2:
      fleet_.HangUp(host);
      break;
    case 3:
      // Many at once, in one moment.
      for (int n = 0; n < fleet_.hosts(); ++n) {
        if (Draw(2) == 0) {
          fleet_.Kill(n);
        }
      }
      break;
    default:
      fleet_.Pause(host, true);
      HealAfter([this, host] { fleet_.Pause(host, false); });
  }
}

void SoakRun::BeginStoreFault() {
  if (Draw(3) == 0) {
    fleet_.store().ForgetHistory();
    return;
  }
  fleet_.store().RefuseWith(Draw(2) == 0 ? 503 : 429);
  HealAfter([this] { fleet_.store().RefuseWith(0); });
}

void SoakRun::BeginEndpointFault() {
  const int n = Draw(fleet_.endpoints());
  switch (Draw(4)) {
    case 0:
      fleet_.endpoint(n).SetFull(true);
      HealAfter([this, n] { fleet_.endpoint(n).SetFull(false); });
      break;
    case 1:
      fleet_.endpoint(n).SetSlowdown(2 + Draw(10));
      HealAfter([this, n] { fleet_.endpoint(n).SetSlowdown(1); });
      break;
    case 2:
      BeginEndpointWish(n);
      break;
    default:
      fleet_.Drain(n);
      HealAfter([this, n] {
        fleet_.Remove(n);
        fleet_.Renew(n);
      });
  }
}

void SoakRun::BeginEndpointWish(int n) {
  SoakEndpoint& endpoint = fleet_.endpoint(n);
  switch (Draw(3)) {
    case 0:
      endpoint.SetRateLimit(1 + Draw(3));
      HealAfter([&endpoint] { endpoint.SetRateLimit(0); });
      break;
    case 1:
      endpoint.SetRest(1 + Draw(2));
      endpoint.SetFull(true);
      HealAfter([&endpoint] {
        endpoint.SetFull(false);
        endpoint.SetRest(0);
      });
      break;
    default:
      endpoint.SayLeaving();
      fleet_.Drain(n);
      HealAfter([this, n] {
        fleet_.Remove(n);
        fleet_.Renew(n);
      });
  }
}

void SoakRun::BeginZoneDrain() {
  const int zone = Draw(SoakFleet::kZones);
  fleet_.DrainZone(zone);
  HealAfter([this, zone] { fleet_.ReleaseZone(zone); });
}

void SoakRun::BeginChange() {
  for (int n = Draw(3); n >= 0; --n) {
    fleet_.PublishNextVersion();
  }
}

void SoakRun::Begin() {
  ++faults_;
  switch (Draw(9)) {
    case 0:
    case 1:
    case 2:
      BeginLinkFault();
      break;
    case 3:
    case 4:
      BeginHostFault();
      break;
    case 5:
      BeginStoreFault();
      break;
    case 6:
      BeginEndpointFault();
      break;
    case 7:
      BeginZoneDrain();
      break;
    default:
      BeginChange();
  }
}

void SoakRun::Pass(Duration time) {
  const TimePoint end = Clock::now() + time;
  while (Clock::now() < end) {
    HealDue(Clock::now());
    fleet_.Tick(Clock::now());
    TurnCold(Clock::now());
    std::this_thread::sleep_for(kStep);
  }
}

void SoakRun::TurnCold(TimePoint now) {
  returns_.Tick(now);
  if (now >= next_return_) {
    returns_.Begin(cold_random_() % 2 == 0 ? 1 : kColdPart, now);
    next_return_ =
        now + kShortestWarm + milliseconds(cold_random_() % kMoreWarmMs);
  }
}

ColdCallersPlan SoakRun::ColdPlan() const {
  ColdCallersPlan plan;
  plan.seed = plan_.seed;
  plan.calls_per_second = kColdCallsPerSecond;
  return plan;
}

void SoakRun::Trouble() {
  const TimePoint end = Clock::now() + plan_.trouble;
  while (Clock::now() < end) {
    Begin();
    Pass(milliseconds(Draw(kLongestGapMs)));
  }
}

void SoakRun::CheckVersionInForce() {
  const int old = fleet_.version();
  fleet_.PublishNextVersion();
  Pass(kInForce);
  for (int n = 0; n < fleet_.hosts(); ++n) {
    const std::string host = "h" + std::to_string(n);
    const SocketAddress at = fleet_.DirectOf(n);
    if (StatusOf(at, "/v" + std::to_string(old + 1) + "/") != 200) {
      ledger_.Violation(host + ": a new route is not served in time");
    }
    if (StatusOf(at, "/v" + std::to_string(old) + "/") != 404) {
      ledger_.Violation(host + ": a removed route is not refused in time");
    }
    if (StatusOf(fleet_.AdminOf(n), "/v1/readiness") != 200) {
      ledger_.Violation(host + ": not ready in a calm");
    }
  }
}

void SoakRun::CheckLeaving() {
  const int leaving = Draw(fleet_.endpoints());
  fleet_.Drain(leaving);
  Pass(kInForce);
  fleet_.endpoint(leaving).ForbidArrivals(true);
  Pass(seconds(1));
  fleet_.endpoint(leaving).ForbidArrivals(false);
}

void SoakRun::CheckStatedLimit() {
  SoakEndpoint& endpoint = fleet_.endpoint(Draw(fleet_.endpoints()));
  endpoint.SetRateLimit(kRateLimit);
  Pass(kUntilLimited);
  const int before = endpoint.arrivals();
  Pass(kLimitedFor);
  const int arrivals = endpoint.arrivals() - before;
  if (arrivals > kMostLimited) {
    ledger_.Violation(endpoint.id() + ": stated a limit and got " +
                      std::to_string(arrivals) + " requests");
  }
  endpoint.SetRateLimit(0);
}

void SoakRun::ForbidArrivals(int zone, bool forbidden) {
  for (int n = 0; n < fleet_.endpoints(); ++n) {
    if (SoakFleet::ZoneOf(n) == zone) {
      fleet_.endpoint(n).ForbidArrivals(forbidden);
    }
  }
}

void SoakRun::CheckDrainedZone() {
  const int zone = Draw(SoakFleet::kZones);
  fleet_.DrainZone(zone);
  Pass(kInForce);
  ForbidArrivals(zone, true);
  Pass(seconds(1));
  ForbidArrivals(zone, false);
  fleet_.ReleaseZone(zone);
}

void SoakRun::CheckCrashing(int before) {
  if (fleet_.crashes() == 0) {
    ledger_.Violation("no endpoint was crashed: the check shows nothing");
  }
  const int crashes = fleet_.crashes() - before;
  if (crashes > kMostCrashes) {
    ledger_.Violation("one request ended " + std::to_string(crashes) +
                      " endpoints in a calm");
  }
  for (int n = 0; n < fleet_.hosts(); ++n) {
    if (StatusOf(fleet_.DirectOf(n), "/fragile/crash") != 503) {
      ledger_.Violation("h" + std::to_string(n) +
                        ": a request that crashes endpoints is not refused");
    }
  }
}

void SoakRun::CheckCalm() {
  HealAll();
  // Stops that were under way end, and the last hosts start again.
  const TimePoint last = Clock::now() + seconds(15);
  while (!fleet_.AllRun() && Clock::now() < last) {
    Pass(kStep);
  }
  Pass(kUntilWell);
}

SoakOutcome SoakRun::Play() {
  {
    const ColdCallers cold_callers(fleet_.AllDirect(), ColdPlan());
    SoakCallers callers(fleet_, ledger_, plan_.seed);
    Pass(seconds(1));
    Trouble();
    CheckCalm();
    callers.TakeCount();
    const int crashes = fleet_.crashes();
    CheckVersionInForce();
    CheckStatedLimit();
    CheckLeaving();
    CheckDrainedZone();
    CheckCrashing(crashes);
    const SoakCallers::Count calm = callers.TakeCount();
    if (calm.served < kLeastServed * calm.asked) {
      ledger_.Violation("only " + std::to_string(calm.served) + " of " +
                        std::to_string(calm.asked) + " served in a calm");
    }
  }
  returns_.WorstSeconds(ledger_);
  return {ledger_.calls(), ledger_.answered(200), faults_,
          ledger_.Violations()};
}

}  // namespace damasktack
