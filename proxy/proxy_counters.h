#ifndef PROXY_PROXY_COUNTERS_H_
#define PROXY_PROXY_COUNTERS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

#include "proxy/failure.h"

namespace damasktack {

// Counters for the caller side of one daemon. Thread-safe.
class ProxyCounters {
 public:
  void CountFailure(FailureKind kind) {
    ++failures_[static_cast<std::size_t>(kind)];
  }
  std::uint64_t failures(FailureKind kind) const {
    return failures_[static_cast<std::size_t>(kind)];
  }

  // Counts a call that is sent to an endpoint considered cold.
  void CountColdSend() { ++cold_sends_; }

  std::atomic<std::int64_t>& connections() { return connections_; }
  std::atomic<std::int64_t>& calls_in_flight() { return calls_in_flight_; }
  std::int64_t calls_in_flight() const { return calls_in_flight_; }

  // Returns all counters in the Prometheus text format.
  std::string Render(bool stopping) const;

 private:
  std::array<std::atomic<std::uint64_t>, kFailureKindCount> failures_{};
  std::atomic<std::uint64_t> cold_sends_ = 0;
  std::atomic<std::int64_t> connections_ = 0;
  std::atomic<std::int64_t> calls_in_flight_ = 0;
};

}  // namespace damasktack

#endif  // PROXY_PROXY_COUNTERS_H_
