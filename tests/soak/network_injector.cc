#include "tests/soak/network_injector.h"

#include <set>

namespace damasktack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kMinPartition = milliseconds(300);
constexpr Duration kMaxPartition = seconds(3);
constexpr Duration kMinPause = milliseconds(300);
constexpr Duration kMaxPause = seconds(2);
// Age of the copy from which the store returns.
constexpr Duration kMinCopyAge = milliseconds(100);
constexpr Duration kMaxCopyAge = seconds(3);
constexpr std::uint64_t kPartitionKinds = 3;

}  // namespace

Duration NetworkInjector::RandomDuration(Duration min, Duration max) {
  const auto range = static_cast<std::uint64_t>((max - min).count());
  return min + Duration(static_cast<Duration::rep>(random_() % range));
}

void NetworkInjector::Tick(TimePoint now) {
  TickPartition(now);
  TickReturn(now);
}

void NetworkInjector::TickPartition(TimePoint now) {
  if (next_partition_change_ && now < *next_partition_change_) {
    return;
  }
  is_partitioned_ = next_partition_change_ && !is_partitioned_;
  std::set<int> hosts;
  const auto kind = static_cast<Partition>(random_() % kPartitionKinds);
  if (is_partitioned_) {
    ++partitions_;
    for (int n = 0; n < fleet_.hosts(); ++n) {
      if (random_() % 2 == 0) {
        hosts.insert(n);
      }
    }
  }
  fleet_.PartitionFromEndpoints(hosts, kind);
  next_partition_change_ =
      now + (is_partitioned_ ? RandomDuration(kMinPartition, kMaxPartition)
                             : RandomDuration(kMinPause, kMaxPause));
}

void NetworkInjector::TickReturn(TimePoint now) {
  if (next_store_change_ && now < *next_store_change_) {
    return;
  }
  has_copy_ = next_store_change_ && !has_copy_;
  if (has_copy_) {
    fleet_.store().KeepCopy();
  } else if (next_store_change_) {
    ++returns_;
    fleet_.ReturnStore();
  }
  next_store_change_ =
      now + (has_copy_ ? RandomDuration(kMinCopyAge, kMaxCopyAge)
                       : RandomDuration(kMinPause, kMaxPause));
}

void NetworkInjector::EndAll() {
  fleet_.PartitionFromEndpoints({}, Partition::kHang);
  is_partitioned_ = false;
  has_copy_ = false;
  next_partition_change_.reset();
  next_store_change_.reset();
}

}  // namespace damasktack
