#ifndef CORE_TCP_LIVENESS_H_
#define CORE_TCP_LIVENESS_H_

#include <optional>

#include "core/time.h"

namespace damasktack {

// Makes the kernel close connections whose network path was lost without a
// reset. Data written to such a connection is never acknowledged and readers
// wait forever. A connection in use is closed once data has been unacknowledged
// for `unacknowledged`, an idle one about two seconds after the path was lost.
// A slow peer process does not count, since its kernel still acknowledges.
// Costs no wake-ups of this process.
void EnableLostConnectionDetection(int socket,
                                   std::chrono::milliseconds unacknowledged);

// Sets for how long data may be unacknowledged, or for how long the peer may
// leave no room for more, until the kernel closes the connection; zero means
// the kernel's default of many minutes.
void SetUnacknowledgedTimeout(int socket,
                              std::chrono::milliseconds unacknowledged);

// What the kernel knows of a peer's acknowledgements.
struct TcpProgress {
  // Whether data is unacknowledged or not yet sent.
  bool has_pending = false;
  // Whether the data that was sent last is unacknowledged.
  bool awaits_acknowledgement = false;
  // Whether the peer has answered a repeated segment or a window probe but left
  // no room for more data since.
  bool has_answered_retry = false;
  // Number of window probes since the peer last acknowledged anything.
  int unanswered_probes = 0;
  // Time since the peer last acknowledged anything.
  std::chrono::milliseconds since_answer{};
};

// Returns null where the kernel does not provide this.
std::optional<TcpProgress> ReadTcpProgress(int socket);

// Detects that a peer no longer acknowledges. Unlike the kernel's timeout, does
// not count the time during which a peer acknowledges window probes but leaves
// no room for data, because its process reads slowly.
class SilenceDetector {
 public:
  explicit SilenceDetector(Duration limit) : limit_(limit) {}

  // Returns whether the peer has left data or probes unanswered for the limit.
  // To be called several times within the limit.
  bool IsSilent(const TcpProgress& progress, TimePoint now);

 private:
  // Kernels answer at most one window probe in half a second. A probe counts
  // only if it came later than that after the last answer; the rest is the
  // interval at which it is noticed.
  static constexpr std::chrono::milliseconds kMinProbeSpacing{700};

  const Duration limit_;
  int last_probes_ = 0;
  std::optional<TimePoint> unanswered_since_;
};

}  // namespace damasktack

#endif  // CORE_TCP_LIVENESS_H_
