#ifndef TESTS_SOAK_PARTITION_RUN_H_
#define TESTS_SOAK_PARTITION_RUN_H_

#include <atomic>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "tests/soak/soak_fleet.h"
#include "tests/soak/soak_recorder.h"

namespace damasktack {

struct PartitionPlan {
  Partition partition = Partition::kHang;
  SoakSize size{.hosts = 6, .endpoints = 9, .cold_endpoints = 1};
  // Hosts that are cut off from all endpoints: the first ones.
  int cut_hosts = 4;
  // Hosts that are killed together while the others are cut off: the last ones.
  int killed_hosts = 0;
};

// First tries of callers and how many got status 200.
struct ServedCalls {
  int sent = 0;
  int served = 0;

  double fraction() const {
    return sent == 0 ? 0 : static_cast<double>(served) / sent;
  }
};

struct PartitionOutcome {
  // From 3 s after the cut to its end.
  ServedCalls at_cut_hosts;
  ServedCalls at_others;
  // From 1 s after the end of the partition.
  ServedCalls after;
  std::vector<std::string> violations;
};

// Runs a fleet of which some hosts are partitioned from all endpoints of a
// service for some seconds, while callers, the store and the other hosts still
// reach them. Callers send each call once.
class PartitionRun {
 public:
  explicit PartitionRun(const PartitionPlan& plan);

  PartitionOutcome Execute();

 private:
  enum class Phase : std::uint8_t { kNotCounted, kCut, kAfter };

  void CallHost(int host);
  void RunFor(Duration time);

  const PartitionPlan plan_;
  SoakRecorder ledger_;
  SoakFleet fleet_;
  std::atomic<Phase> phase_ = Phase::kNotCounted;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  PartitionOutcome outcome_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_PARTITION_RUN_H_
