#ifndef WIRE_ATOMIC_TRANSPORT_COUNTERS_H_
#define WIRE_ATOMIC_TRANSPORT_COUNTERS_H_

#include <atomic>
#include <cstdint>

#include "wire/transport_counters.h"

namespace damasktack::detail {

// Atomic counterpart of TransportCounters: incremented on the transport's
// thread and by senders, read on any thread.
struct AtomicTransportCounters {
  std::atomic<std::uint64_t> links_opened = 0;
  std::atomic<std::uint64_t> links_closed = 0;
  std::atomic<std::uint64_t> dials_failed = 0;
  std::atomic<std::uint64_t> refused_proof = 0;
  std::atomic<std::uint64_t> refused_late = 0;
  std::atomic<std::uint64_t> refused_full = 0;
  std::atomic<std::uint64_t> malformed = 0;
  std::atomic<std::uint64_t> refused_frames = 0;
  std::atomic<std::uint64_t> frames_sent = 0;
  std::atomic<std::uint64_t> bytes_sent = 0;
  std::atomic<std::uint64_t> frames_received = 0;
  std::atomic<std::uint64_t> bytes_received = 0;
  std::atomic<std::uint64_t> frames_dropped = 0;

  // Reads each counter atomically; together they are not a consistent snapshot.
  TransportCounters Read() const;
};

}  // namespace damasktack::detail

#endif  // WIRE_ATOMIC_TRANSPORT_COUNTERS_H_
