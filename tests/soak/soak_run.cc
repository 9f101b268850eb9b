#include "tests/soak/soak_run.h"

#include <httplib.h>

#include <algorithm>

namespace damasktack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kMinFault = milliseconds(150);
constexpr int kMaxExtraFaultMs = 2500;
constexpr int kMaxGapMs = 500;
constexpr int kMaxDelayMs = 120;
// Time after the last fault after which time limits are guaranteed again, and
// the time limit for a change to take effect.
constexpr Duration kSettleTime = milliseconds(4500);
constexpr Duration kChangeDeadline = milliseconds(2000);
// Fraction of the endpoints that become cold when not all do, and the range of
// the time between two such events.
constexpr double kColdFraction = 0.4;
constexpr Duration kMinWarmTime = milliseconds(500);
constexpr std::uint64_t kMaxExtraWarmMs = 5000;
constexpr double kColdCallsPerSecond = 60;
// Announced rate limit per second, the time until all hosts apply it, the time
// for which arrivals are counted, and the number allowed in this time.
constexpr int kRateLimit = 1;
constexpr Duration kLimitSettleTime = seconds(3);
constexpr seconds kLimitObservationTime(4);
constexpr double kMaxLimitedArrivals =
    1.5 * kRateLimit * kLimitObservationTime.count() + 5;
// Fraction of the calls without faults that must succeed; a busy machine delays
// some calls.
constexpr double kMinServedFraction = 0.9;
// Endpoints that one request may crash after the fault phase: three crashes
// identify the request, and it may be sent three times more. Crashes in the
// fault phase are not counted, since hosts can lose their crash records in it.
constexpr int kMaxCrashes = 6;

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
      cold_phases_(fleet_, plan.seed),
      network_(fleet_, plan.seed) {
  ledger_.RecordSent("check", true);
}

int SoakRun::Draw(int below) {
  return static_cast<int>(random_() % static_cast<std::uint64_t>(below));
}

void SoakRun::RecoverLater(std::function<void()> action) {
  const Duration length = kMinFault + milliseconds(Draw(kMaxExtraFaultMs));
  pending_recoveries_.push_back({Clock::now() + length, std::move(action)});
}

void SoakRun::RecoverDue(TimePoint now) {
  std::vector<PendingRecovery> due;
  std::erase_if(pending_recoveries_, [&](PendingRecovery& it) {
    const bool is_due = it.due <= now;
    if (is_due) {
      due.push_back(std::move(it));
    }
    return is_due;
  });
  for (const PendingRecovery& it : due) {
    it.action();
  }
}

void SoakRun::RecoverAll() {
  RecoverDue(TimePoint::max());
}

void SoakRun::BeginLinkFault() {
  const auto link_kind = static_cast<SoakFleet::LinkKind>(Draw(4));
  const auto fault = static_cast<LinkFault>(1 + Draw(5));
  const int n =
      Draw(link_kind == SoakFleet::LinkKind::kEndpoint ? fleet_.endpoints()
                                                       : fleet_.hosts());
  fleet_.SetFault(link_kind, n, fault, milliseconds(Draw(kMaxDelayMs)));
  RecoverLater([this, link_kind, n] {
    fleet_.SetFault(link_kind, n, LinkFault::kNone, Duration::zero());
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
      fleet_.SendHangup(host);
      break;
    case 3:
      // Kill about half of the hosts at the same time.
      for (int n = 0; n < fleet_.hosts(); ++n) {
        if (Draw(2) == 0) {
          fleet_.Kill(n);
        }
      }
      break;
    default:
      fleet_.Pause(host, true);
      RecoverLater([this, host] { fleet_.Pause(host, false); });
  }
}

void SoakRun::BeginStoreFault() {
  if (Draw(3) == 0) {
    fleet_.store().DropHistory();
    return;
  }
  fleet_.store().SetErrorStatus(Draw(2) == 0 ? 503 : 429);
  RecoverLater([this] { fleet_.store().SetErrorStatus(0); });
}

void SoakRun::BeginEndpointFault() {
  const int n = Draw(fleet_.endpoints());
  switch (Draw(4)) {
    case 0:
      fleet_.endpoint(n).SetFull(true);
      RecoverLater([this, n] { fleet_.endpoint(n).SetFull(false); });
      break;
    case 1:
      fleet_.endpoint(n).SetSlowdown(2 + Draw(10));
      RecoverLater([this, n] { fleet_.endpoint(n).SetSlowdown(1); });
      break;
    case 2:
      BeginEndpointSignal(n);
      break;
    default:
      fleet_.Drain(n);
      RecoverLater([this, n] {
        fleet_.Remove(n);
        fleet_.Replace(n);
      });
  }
}

void SoakRun::BeginEndpointSignal(int n) {
  SoakEndpoint& endpoint = fleet_.endpoint(n);
  switch (Draw(3)) {
    case 0:
      endpoint.SetRateLimit(1 + Draw(3));
      RecoverLater([&endpoint] { endpoint.SetRateLimit(0); });
      break;
    case 1:
      endpoint.SetRetryAfter(1 + Draw(2));
      endpoint.SetFull(true);
      RecoverLater([&endpoint] {
        endpoint.SetFull(false);
        endpoint.SetRetryAfter(0);
      });
      break;
    default:
      endpoint.AnnounceLeaving();
      fleet_.Drain(n);
      RecoverLater([this, n] {
        fleet_.Remove(n);
        fleet_.Replace(n);
      });
  }
}

void SoakRun::BeginZoneDrain() {
  const int zone = Draw(SoakFleet::kZones);
  fleet_.DrainZone(zone);
  RecoverLater([this, zone] { fleet_.ReleaseZone(zone); });
}

void SoakRun::PublishVersions() {
  for (int n = Draw(3); n >= 0; --n) {
    fleet_.PublishNextVersion();
  }
}

void SoakRun::BeginRandomFault() {
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
      PublishVersions();
  }
}

void SoakRun::RunFor(Duration time) {
  const TimePoint end = Clock::now() + time;
  while (Clock::now() < end) {
    RecoverDue(Clock::now());
    fleet_.Tick(Clock::now());
    UpdateColdPhases(Clock::now());
    std::this_thread::sleep_for(kStep);
  }
}

void SoakRun::UpdateColdPhases(TimePoint now) {
  cold_phases_.Tick(now);
  if (now >= next_cold_phase_) {
    cold_phases_.Begin(cold_random_() % 2 == 0 ? 1 : kColdFraction, now);
    next_cold_phase_ =
        now + kMinWarmTime + milliseconds(cold_random_() % kMaxExtraWarmMs);
  }
}

ColdCallersPlan SoakRun::ColdPlan() const {
  ColdCallersPlan plan;
  plan.seed = plan_.seed;
  plan.calls_per_second = kColdCallsPerSecond;
  return plan;
}

void SoakRun::InjectFaults() {
  const TimePoint end = Clock::now() + plan_.fault_phase;
  while (Clock::now() < end) {
    BeginRandomFault();
    network_.Tick(Clock::now());
    RunFor(milliseconds(Draw(kMaxGapMs)));
  }
}

void SoakRun::CheckVersionInForce() {
  const int old = fleet_.version();
  fleet_.PublishNextVersion();
  RunFor(kChangeDeadline);
  for (int n = 0; n < fleet_.hosts(); ++n) {
    const std::string host = "h" + std::to_string(n);
    const SocketAddress at = fleet_.DirectAddress(n);
    if (StatusOf(at, "/v" + std::to_string(old + 1) + "/") != 200) {
      ledger_.AddViolation(host +
                           ": new route not served within the time limit");
    }
    if (StatusOf(at, "/v" + std::to_string(old) + "/") != 404) {
      ledger_.AddViolation(
          host + ": removed route not rejected within the time limit");
    }
    if (StatusOf(fleet_.AdminAddress(n), "/v1/readiness") != 200) {
      ledger_.AddViolation(host + ": not ready although no fault is active");
    }
  }
}

void SoakRun::CheckLeaving() {
  const int leaving = Draw(fleet_.endpoints());
  fleet_.Drain(leaving);
  RunFor(kChangeDeadline);
  fleet_.endpoint(leaving).ForbidArrivals(true);
  RunFor(seconds(1));
  fleet_.endpoint(leaving).ForbidArrivals(false);
}

void SoakRun::CheckStatedLimit() {
  SoakEndpoint& endpoint = fleet_.endpoint(Draw(fleet_.endpoints()));
  endpoint.SetRateLimit(kRateLimit);
  RunFor(kLimitSettleTime);
  const int before = endpoint.arrivals();
  RunFor(kLimitObservationTime);
  const int arrivals = endpoint.arrivals() - before;
  if (arrivals > kMaxLimitedArrivals) {
    ledger_.AddViolation(endpoint.id() + ": announced a rate limit, but got " +
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
  RunFor(kChangeDeadline);
  ForbidArrivals(zone, true);
  RunFor(seconds(1));
  ForbidArrivals(zone, false);
  fleet_.ReleaseZone(zone);
}

void SoakRun::CheckCrashing(int before) {
  if (fleet_.crashes() == 0) {
    ledger_.AddViolation(
        "no endpoint crashed, so the crash check has no meaning");
  }
  const int crashes = fleet_.crashes() - before;
  if (crashes > kMaxCrashes) {
    ledger_.AddViolation("one request crashed " + std::to_string(crashes) +
                         " endpoints after the fault phase");
  }
  for (int n = 0; n < fleet_.hosts(); ++n) {
    if (StatusOf(fleet_.DirectAddress(n), "/fragile/crash") != 503) {
      ledger_.AddViolation("h" + std::to_string(n) +
                           ": crashing request not rejected with 503");
    }
  }
}

void SoakRun::WaitForRecovery() {
  RecoverAll();
  network_.EndAll();
  // Wait for pending stops and restarts.
  const TimePoint last = Clock::now() + seconds(15);
  while (!fleet_.AllRun() && Clock::now() < last) {
    RunFor(kStep);
  }
  RunFor(kSettleTime);
}

SoakOutcome SoakRun::Execute() {
  {
    const ColdCallers cold_callers(fleet_.AllDirectAddresses(), ColdPlan());
    SoakCallers callers(fleet_, ledger_, plan_.seed);
    RunFor(seconds(1));
    InjectFaults();
    WaitForRecovery();
    callers.TakeCounts();
    const int crashes = fleet_.crashes();
    CheckVersionInForce();
    CheckStatedLimit();
    CheckLeaving();
    CheckDrainedZone();
    CheckCrashing(crashes);
    const SoakCallers::CallCounts calm = callers.TakeCounts();
    if (calm.served < kMinServedFraction * calm.sent) {
      ledger_.AddViolation("only " + std::to_string(calm.served) + " of " +
                           std::to_string(calm.sent) +
                           " calls served after the fault phase");
    }
  }
  cold_phases_.CheckPeakRates(ledger_);
  const int faults = faults_ + network_.partitions() + network_.returns();
  return {ledger_.calls(), ledger_.answered(200), faults, ledger_.Violations()};
}

}  // namespace damasktack
