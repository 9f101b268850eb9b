#ifndef TESTS_SOAK_NETWORK_INJECTOR_H_
#define TESTS_SOAK_NETWORK_INJECTOR_H_

#include <cstdint>
#include <optional>
#include <random>

#include "core/time.h"
#include "tests/soak/soak_fleet.h"

namespace damasktack {

// Partitions random hosts from all endpoints, and lets the store return from
// older copies. Uses its own random generator, so that it does not change the
// other faults of a seed.
class NetworkInjector {
 public:
  NetworkInjector(SoakFleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(seed) {}

  // Begins and ends faults that are due.
  void Tick(TimePoint now);
  // Ends all faults.
  void EndAll();

  int partitions() const { return partitions_; }
  int returns() const { return returns_; }

 private:
  void TickPartition(TimePoint now);
  void TickReturn(TimePoint now);
  Duration RandomDuration(Duration min, Duration max);

  SoakFleet& fleet_;
  std::mt19937_64 random_;
  bool is_partitioned_ = false;
  std::optional<TimePoint> next_partition_change_;
  bool has_copy_ = false;
  std::optional<TimePoint> next_store_change_;
  int partitions_ = 0;
  int returns_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_NETWORK_INJECTOR_H_
