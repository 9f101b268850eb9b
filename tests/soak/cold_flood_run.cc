#include "tests/soak/cold_flood_run.h"

#include <thread>

namespace damasktack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kStartupTime = seconds(4);
constexpr Duration kColdPhaseInterval = seconds(5);
constexpr Duration kMinPause = milliseconds(50);
constexpr Duration kMaxExtraPause = milliseconds(200);
constexpr Duration kMaxRunningTime = milliseconds(800);

}  // namespace

ColdFloodRun::ColdFloodRun(const ColdFloodPlan& plan)
    : plan_(plan),
      random_(plan.seed),
      fleet_(plan.size, ledger_),
      cold_phases_(fleet_, plan.seed) {
  const int pausing = static_cast<int>(plan.pausing_fraction * fleet_.hosts());
  for (int n = 0; n < pausing; ++n) {
    pauses_.push_back({n, Clock::now() + kStartupTime, false});
  }
}

Duration ColdFloodRun::RandomDuration(Duration max_duration) {
  return Duration(static_cast<Duration::rep>(
      random_() % static_cast<std::uint64_t>(max_duration.count() + 1)));
}

void ColdFloodRun::UpdatePauses(TimePoint now) {
  for (Pause& it : pauses_) {
    if (now < it.next) {
      continue;
    }
    it.is_stopped = !it.is_stopped;
    fleet_.Pause(it.host, it.is_stopped);
    it.next = now + (it.is_stopped ? kMinPause + RandomDuration(kMaxExtraPause)
                                   : RandomDuration(kMaxRunningTime));
  }
}

void ColdFloodRun::RunFor(Duration time) {
  const TimePoint end = Clock::now() + time;
  while (Clock::now() < end) {
    cold_phases_.Tick(Clock::now());
    UpdatePauses(Clock::now());
    std::this_thread::sleep_for(kStep);
  }
}

ColdFloodOutcome ColdFloodRun::Execute() {
  ColdCallersPlan callers_plan;
  callers_plan.seed = plan_.seed;
  callers_plan.calls_per_second = plan_.calls_per_second;
  callers_plan.leaving_fraction = plan_.leaving_fraction;
  RunFor(kStartupTime);
  ColdCallers callers(fleet_.AllDirectAddresses(), callers_plan);
  for (int n = 0; n < plan_.cold_phases; ++n) {
    RunFor(seconds(1));
    cold_phases_.Begin(1, Clock::now());
    RunFor(kColdPhaseInterval);
  }
  callers.Stop();
  for (const Pause& it : pauses_) {
    fleet_.Pause(it.host, false);
  }
  ColdFloodOutcome outcome;
  outcome.peak_rates = cold_phases_.CheckPeakRates(ledger_);
  outcome.stayed = callers.stayed();
  outcome.served = callers.served();
  return outcome;
}

}  // namespace damasktack
