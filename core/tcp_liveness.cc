#include "core/tcp_liveness.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace damasktack {

namespace {

// The shortest that the kernel takes.
constexpr int kIdleSeconds = 1;
constexpr int kIntervalSeconds = 1;
constexpr int kProbes = 1;

void Set(int socket, int level, int option, int value) {
  setsockopt(socket, level, option, &value, sizeof(value));
}

}  // namespace

void EnableLostConnectionDetection(int socket,
                                   std::chrono::milliseconds unacknowledged) {
  Set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  Set(socket, IPPROTO_TCP, TCP_KEEPIDLE, kIdleSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPINTVL, kIntervalSeconds);
  Set(socket, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
  Set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
      static_cast<int>(unacknowledged.count()));
}

}  // namespace damasktack
