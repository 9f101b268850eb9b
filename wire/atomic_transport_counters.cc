#include "wire/atomic_transport_counters.h"

namespace damasktack::detail {

TransportCounters AtomicTransportCounters::Read() const {
  TransportCounters counted;
  counted.links_opened = links_opened;
  counted.links_closed = links_closed;
  counted.dials_failed = dials_failed;
  counted.refused_proof = refused_proof;
  counted.refused_late = refused_late;
  counted.refused_full = refused_full;
  counted.malformed = malformed;
  counted.refused_frames = refused_frames;
  counted.frames_sent = frames_sent;
  counted.bytes_sent = bytes_sent;
  counted.frames_received = frames_received;
  counted.bytes_received = bytes_received;
  counted.frames_dropped = frames_dropped;
  return counted;
}

}  // namespace damasktack::detail
