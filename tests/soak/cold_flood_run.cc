#include "tests/soak/cold_flood_run.h"

#include <algorithm>
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
    : plan_(plan), random_(plan.seed), fleet_(plan.size, ledger_) {
  const int pausing = static_cast<int>(plan.pausing_part * fleet_.hosts());
  for (int n = 0; n < pausing; ++n) {
    pauses_.push_back({n, Clock::now() + kUntilStarted, false});
  }
}

Duration ColdFloodRun::DrawUpTo(Duration longest) {
  return Duration(static_cast<Duration::rep>(
      random_() % static_cast<std::uint64_t>(longest.count() + 1)));
}

std::vector<SocketAddress> ColdFloodRun::Hosts() const {
  std::vector<SocketAddress> hosts;
  for (int n = 0; n < fleet_.hosts(); ++n) {
    hosts.push_back(fleet_.DirectOf(n));
  }
  return hosts;
}

void ColdFloodRun::BecomeCold() {
  for (int n = 0; n < fleet_.cold_endpoints().size(); ++n) {
    fleet_.cold_endpoints().at(n).BecomeCold(SoakFleet::kColdTime);
    tellings_.push_back({n, Clock::now() + DrawUpTo(plan_.longest_untold)});
  }
}

void ColdFloodRun::Tell(TimePoint now) {
  std::erase_if(tellings_, [&](const Telling& it) {
    const bool is_due = it.due <= now;
    if (is_due) {
      fleet_.TellCold(it.endpoint);
    }
    return is_due;
  });
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
    Tell(Clock::now());
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
  ColdCallers callers(Hosts(), callers_plan);
  for (int n = 0; n < plan_.returns; ++n) {
    Pass(seconds(1));
    BecomeCold();
    Pass(kBetweenReturns);
  }
  callers.Stop();
  for (const Pause& it : pauses_) {
    fleet_.Pause(it.host, false);
  }
  ColdFloodOutcome outcome;
  for (int n = 0; n < fleet_.cold_endpoints().size(); ++n) {
    const SlotEndpoint& endpoint = fleet_.cold_endpoints().at(n);
    outcome.worst_seconds.push_back(endpoint.worst_cold_second());
    if (endpoint.worst_cold_second() > SoakFleet::kMostInColdSecond) {
      ledger_.Violation(endpoint.id() + ": flooded while it was cold");
    }
  }
  outcome.stayed = callers.stayed();
  outcome.served = callers.served();
  return outcome;
}

}  // namespace damasktack
