#include "core/tcp_liveness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(unacknowledged.count()));
}

}  // namespace damasktack
