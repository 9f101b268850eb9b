#ifndef TESTS_SOAK_COLD_RETURNS_H_
#define TESTS_SOAK_COLD_RETURNS_H_

#include <cstdint>
#include <random>
#include <vector>

#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_ledger.h"

namespace damasktack {

// Has endpoints of a fleet become cold, and the list say so some time later.
class ColdReturns {
 public:
  ColdReturns(SoakFleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed) {}

  // Each endpoint with this probability.
  void Begin(double part, TimePoint now);
  // Tells the list what is due.
  void Tick(TimePoint now);
  // The most requests that each got within a second while it was cold; too many
  // are a violation.
  std::vector<std::size_t> WorstSeconds(SoakLedger& ledger) const;

 private:
  struct Telling {
    int endpoint = 0;
    TimePoint due;
  };

  SoakFleet& fleet_;
  std::mt19937_64 random_;
  std::vector<Telling> tellings_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_COLD_RETURNS_H_
