#include "core/tcp_liveness.h"

// <netinet/tcp.h> has an older struct tcp_info.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>

namespace damasktack {

namespace {

// The minimum values that the kernel accepts.
constexpr int kIdleSeconds = 1;
constexpr int kIntervalSeconds = 1;
constexpr int kProbes = 1;

void SetOption(int socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

void EnableLostConnectionDetection(int socket,
                                   std::chrono::milliseconds unacknowledged) {
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, kIntervalSeconds);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  SetUnacknowledgedTimeout(socket, unacknowledged);
}

void SetUnacknowledgedTimeout(int socket,
                              std::chrono::milliseconds unacknowledged) {
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(unacknowledged.count()));
}

std::optional<TcpProgress> ReadTcpProgress(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int failed = getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size);
  // Simulated networks report zeros.
  if (failed != 0 || info.tcpi_snd_mss == 0 || info.tcpi_segs_out == 0) {
    return std::nullopt;
  }
  TcpProgress progress;
  progress.has_pending = info.tcpi_unacked > 0 || info.tcpi_notsent_bytes > 0;
  progress.awaits_acknowledgement =
      info.tcpi_unacked > 0 &&
      info.tcpi_last_ack_recv > info.tcpi_last_data_sent;
  progress.unanswered_probes = info.tcpi_probes;
  progress.has_answered_retry = info.tcpi_backoff > 0 &&
                                info.tcpi_probes == 0 &&
                                !progress.awaits_acknowledgement;
  progress.since_answer = std::chrono::milliseconds(info.tcpi_last_ack_recv);
  return progress;
}

bool SilenceDetector::IsSilent(const TcpProgress& progress, TimePoint now) {
  const bool has_new_probe = progress.unanswered_probes > last_probes_ &&
                             progress.since_answer >= kMinProbeSpacing;
  last_probes_ = progress.unanswered_probes;
  const bool awaits_probe_answer =
      has_new_probe || (unanswered_since_ && progress.unanswered_probes > 0);
  if (!progress.awaits_acknowledgement && !awaits_probe_answer) {
    unanswered_since_.reset();
    return false;
  }
  const TimePoint answered_at = now - progress.since_answer;
  unanswered_since_ = std::max(unanswered_since_.value_or(now), answered_at);
  return now - *unanswered_since_ >= limit_;
}

}  // namespace damasktack
