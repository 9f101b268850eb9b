#ifndef WIRE_TRANSPORT_COUNTERS_H_
#define WIRE_TRANSPORT_COUNTERS_H_

#include <cstdint>

namespace damasktack {

// Counters of a transport since its start.
struct TransportCounters {
  std::uint64_t links_opened = 0;
  std::uint64_t links_closed = 0;
  std::uint64_t dials_failed = 0;
  // Peers that did not prove that they have the fleet's key, or replayed a
  // proof.
  std::uint64_t refused_proof = 0;
  // Connections without a proof within the timeout.
  std::uint64_t refused_late = 0;
  // Connections over the limit on unauthenticated connections.
  std::uint64_t refused_full = 0;
  // Greetings or frames that violate the protocol.
  std::uint64_t malformed = 0;
  // Frames on an open link whose tag is wrong, repeated or out of order.
  std::uint64_t refused_frames = 0;
  std::uint64_t frames_sent = 0;
  std::uint64_t bytes_sent = 0;
  std::uint64_t frames_received = 0;
  std::uint64_t bytes_received = 0;
  // Frames not sent because there was no link or its queue was full.
  std::uint64_t frames_dropped = 0;
};

}  // namespace damasktack

#endif  // WIRE_TRANSPORT_COUNTERS_H_
