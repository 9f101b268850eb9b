#ifndef TESTS_SOAK_COLD_PHASE_INJECTOR_H_
#define TESTS_SOAK_COLD_PHASE_INJECTOR_H_

#include <cstdint>
#include <random>
#include <vector>

#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_recorder.h"

namespace damasktack {

// Makes endpoints of a fleet cold, and publishes this in the endpoint list
// after a random delay.
class ColdPhaseInjector {
 public:
  ColdPhaseInjector(SoakFleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed) {}

  // Makes each endpoint cold with probability `part`.
  void Begin(double part, TimePoint now);
  // Publishes the cold states whose delay has passed.
  void Tick(TimePoint now);
  // Returns for each endpoint the largest number of requests that arrived
  // within one second while it was cold. Records a violation where this exceeds
  // the limit.
  std::vector<std::size_t> CheckPeakRates(SoakRecorder& ledger) const;

 private:
  struct PendingReport {
    int endpoint = 0;
    TimePoint due;
  };

  SoakFleet& fleet_;
  std::mt19937_64 random_;
  std::vector<PendingReport> pending_reports_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_COLD_PHASE_INJECTOR_H_
