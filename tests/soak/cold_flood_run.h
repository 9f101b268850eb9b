#ifndef TESTS_SOAK_COLD_FLOOD_RUN_H_
#define TESTS_SOAK_COLD_FLOOD_RUN_H_

#include <cstdint>
#include <random>
#include <vector>

#include "tests/soak/cold_callers.h"
#include "tests/soak/cold_phase_injector.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_recorder.h"

namespace damasktack {

struct ColdFloodPlan {
  std::uint64_t seed = 1;
  SoakSize size;
  double calls_per_second = 100;
  double leaving_fraction = 0.5;
  // Fraction of the hosts that are suspended and resumed repeatedly.
  double pausing_fraction = 0.33;
  // Number of times that all endpoints become cold.
  int cold_phases = 3;
};

struct ColdFloodOutcome {
  // For each endpoint, the largest number of requests that arrived within one
  // second while it was cold.
  std::vector<std::size_t> peak_rates;
  int stayed = 0;
  int served = 0;
};

// Runs a fleet in which all endpoints of a service become cold together several
// times, while callers disconnect early and hosts are suspended for a while.
class ColdFloodRun {
 public:
  explicit ColdFloodRun(const ColdFloodPlan& plan);

  ColdFloodOutcome Execute();

 private:
  struct Pause {
    int host = 0;
    // Time at which the host is suspended or resumed next.
    TimePoint next;
    bool is_stopped = false;
  };

  void UpdatePauses(TimePoint now);
  void RunFor(Duration time);
  Duration RandomDuration(Duration max_duration);

  const ColdFloodPlan plan_;
  std::mt19937_64 random_;
  SoakRecorder ledger_;
  SoakFleet fleet_;
  ColdPhaseInjector cold_phases_;
  std::vector<Pause> pauses_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_COLD_FLOOD_RUN_H_
