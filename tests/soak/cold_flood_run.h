#ifndef TESTS_SOAK_COLD_FLOOD_RUN_H_
#define TESTS_SOAK_COLD_FLOOD_RUN_H_

#include <cstdint>
#include <random>
#include <vector>

#include "tests/soak/cold_callers.h"
#include "tests/soak/cold_returns.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_ledger.h"

namespace damasktack {

struct ColdFloodPlan {
  std::uint64_t seed = 1;
  SoakSize size;
  double calls_per_second = 100;
  double leaving_part = 0.5;
  // The part of the hosts that is stopped and goes on, again and again.
  double pausing_part = 0.33;
  // How often all endpoints become cold.
  int returns = 3;
};

struct ColdFloodOutcome {
  // Of each endpoint, the most requests within a second while it was cold.
  std::vector<std::size_t> worst_seconds;
  int stayed = 0;
  int served = 0;
};

// Has all endpoints of a service become cold together, time and again, while
// callers come and leave and hosts are stopped for a while.
class ColdFloodRun {
 public:
  explicit ColdFloodRun(const ColdFloodPlan& plan);

  ColdFloodOutcome Play();

 private:
  struct Pause {
    int host = 0;
    // The host is stopped or goes on then.
    TimePoint next;
    bool is_stopped = false;
  };

  void TurnPauses(TimePoint now);
  void Pass(Duration time);
  Duration DrawUpTo(Duration longest);

  const ColdFloodPlan plan_;
  std::mt19937_64 random_;
  SoakLedger ledger_;
  SoakFleet fleet_;
  ColdReturns returns_;
  std::vector<Pause> pauses_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_COLD_FLOOD_RUN_H_
