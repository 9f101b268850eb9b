#ifndef TESTS_SOAK_SOAK_RUN_H_
#define TESTS_SOAK_SOAK_RUN_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "tests/soak/cold_callers.h"
#include "tests/soak/cold_returns.h"
#include "tests/soak/soak_callers.h"
#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_ledger.h"

namespace damasktack {

struct SoakPlan {
  std::uint64_t seed = 1;
  // For how long faults begin; some overlap the end by their own length.
  Duration trouble = std::chrono::seconds(6);
  SoakSize size;
};

struct SoakOutcome {
  std::size_t calls = 0;
  std::size_t served = 0;
  int faults = 0;
  std::vector<std::string> violations;
};

// Plays one seed: faults at random moments on random things while callers
// call, then a calm in which everything is healed and what the fleet promises
// without trouble is checked.
class SoakRun {
 public:
  explicit SoakRun(const SoakPlan& plan);

  SoakOutcome Play();

 private:
  struct Heal {
    TimePoint due;
    std::function<void()> action;
  };

  void Trouble();
  void Begin();
  void BeginLinkFault();
  void BeginHostFault();
  void BeginStoreFault();
  void BeginEndpointFault();
  void BeginEndpointWish(int n);
  void BeginZoneDrain();
  void BeginChange();
  // Endpoints become cold by a clock of their own, so that the other faults of
  // a seed stay as they are.
  void TurnCold(TimePoint now);
  void HealAfter(std::function<void()> action);
  void HealDue(TimePoint now);
  void HealAll();
  ColdCallersPlan ColdPlan() const;
  // Lets time pass; ended hosts are started again meanwhile.
  void Pass(Duration time);
  void CheckCalm();
  void CheckVersionInForce();
  void CheckLeaving();
  void CheckStatedLimit();
  void CheckDrainedZone();
  void ForbidArrivals(int zone, bool forbidden);
  // `before` endpoints had ended when the calm began.
  void CheckCrashing(int before);
  int Draw(int below);

  const SoakPlan plan_;
  std::mt19937_64 random_;
  SoakLedger ledger_;
  SoakFleet fleet_;
  std::mt19937_64 cold_random_;
  ColdReturns returns_;
  TimePoint next_return_;
  std::vector<Heal> heals_;
  int faults_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_RUN_H_
