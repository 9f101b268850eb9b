#ifndef TESTS_SOAK_SOAK_RUN_H_
#define TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/cold_callers.h"
#include "tests/soak/cold_phase_injector.h"
#include "tests/soak/network_injector.h"
#include "tests/soak/soak_callers.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_recorder.h"

namespace damasktack {

struct SoakPlan {
  std::uint64_t seed = 1;
  // Time during which faults are started; the last ones may end later.
  Duration fault_phase = std::chrono::seconds(6);
  SoakSize size;
};

struct SoakOutcome {
  std::size_t calls = 0;
  std::size_t served = 0;
  int faults = 0;
  std::vector<std::string> violations;
};

// Runs the soak test for one seed: injects random faults under load, then ends
// all faults and checks the guarantees that hold for a fleet without faults.
class SoakRun {
 public:
  explicit SoakRun(const SoakPlan& plan);

  SoakOutcome Execute();

 private:
  struct PendingRecovery {
    TimePoint due;
    std::function<void()> action;
  };

  void InjectFaults();
  void BeginRandomFault();
  void BeginLinkFault();
  void BeginHostFault();
  void BeginStoreFault();
  void BeginEndpointFault();
  void BeginEndpointSignal(int n);
  void BeginZoneDrain();
  void PublishVersions();
  // Makes endpoints cold. Uses its own random generator, so that it does not
  // change the other faults of a seed.
  void UpdateColdPhases(TimePoint now);
  void RecoverLater(std::function<void()> action);
  void RecoverDue(TimePoint now);
  void RecoverAll();
  ColdCallersPlan ColdPlan() const;
  // Waits for `time`, ends the faults that are due and restarts exited hosts.
  void RunFor(Duration time);
  void WaitForRecovery();
  void CheckVersionInForce();
  void CheckLeaving();
  void CheckStatedLimit();
  void CheckDrainedZone();
  void ForbidArrivals(int zone, bool forbidden);
  // `before` is the number of crashes at the end of the fault phase.
  void CheckCrashing(int before);
  int Draw(int below);

  const SoakPlan plan_;
  std::mt19937_64 random_;
  SoakRecorder ledger_;
  SoakFleet fleet_;
  std::mt19937_64 cold_random_;
  ColdPhaseInjector cold_phases_;
  NetworkInjector network_;
  TimePoint next_cold_phase_;
  std::vector<PendingRecovery> pending_recoveries_;
  int faults_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_RUN_H_
