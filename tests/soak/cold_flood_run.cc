#include "tests/soak/cold_flood_run.h"

#include <thread>

namespace damasktack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kUntilStarted = seconds(4);
constexpr Duration kBetweenReturns = seconds(5);
constexpr Duration kShortestPause = milliseconds(50);
constexpr Duration kMorePause = milliseconds(200);
constexpr Duration kLongestRunning = milliseconds(800);

}  // namespace

ColdFloodRun::ColdFloodRun(const ColdFloodPlan& plan)
    : plan_(plan),
      random_(plan.seed),
      fleet_(plan.size, ledger_),
      returns_(fleet_, plan.seed) {
  const int pausing = static_cast<int>(plan.pausing_part * fleet_.hosts());
  for (int n = 0; n < pausing; ++n) {
    pauses_.push_back({n, Clock::now() + kUntilStarted, false});
  }
}

Duration ColdFloodRun::DrawUpTo(Duration longest) {
  return Duration(static_cast<Duration::rep>(
      random_() % static_cast<std::uint64_t>(longest.count() + 1)));
}

void ColdFloodRun::TurnPauses(TimePoint now) {
  for (Pause& it : pauses_) {
    if (now < it.next) {
      continue;
    }
    it.is_stopped = !it.is_stopped;
    fleet_.Pause(it.host, it.is_stopped);
    it.next = now + (it.is_stopped ? kShortestPause + DrawUpTo(kMorePause)
                                   : DrawUpTo(kLongestRunning));
  }
}

void ColdFloodRun::Pass(Duration time) {
  const TimePoint end = Clock::now() + time;
  while (Clock::now() < end) {
    returns_.Tick(Clock::now());
    TurnPauses(Clock::now());
    std::this_thread::sleep_for(kStep);
  }
}

ColdFloodOutcome ColdFloodRun::Play() {
  ColdCallersPlan callers_plan;
  callers_plan.seed = plan_.seed;
  callers_plan.calls_per_second = plan_.calls_per_second;
  callers_plan.leaving_part = plan_.leaving_part;
  Pass(kUntilStarted);
  ColdCallers callers(fleet_.AllDirect(), callers_plan);
  for (int n = 0; n < plan_.returns; ++n) {
    Pass(seconds(1));
    returns_.Begin(1, Clock::now());
    Pass(kBetweenReturns);
  }
  callers.Stop();
  for (const Pause& it : pauses_) {
    fleet_.Pause(it.host, false);
  }
  ColdFloodOutcome outcome;
  outcome.worst_seconds = returns_.WorstSeconds(ledger_);
  outcome.stayed = callers.stayed();
  outcome.served = callers.served();
  return outcome;
}

}  // namespace damasktack
