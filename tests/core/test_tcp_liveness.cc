#include "core/tcp_liveness.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace damasktack {
namespace {

int Option(int socket, int level, int option) {
  int value = 0;
  socklen_t size = sizeof(value);
  getsockopt(socket, level, option, &value, &size);
  return value;
}

// No packet can be lost on a loopback without privileges, so this asks the
// kernel what it was told.
TEST_CASE("a lost connection is ended by the kernel") {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(fd >= 0);
  EnableLostConnectionDetection(fd, std::chrono::milliseconds(700));
  CHECK(Option(fd, SOL_SOCKET, SO_KEEPALIVE) == 1);
  CHECK(Option(fd, IPPROTO_TCP, TCP_KEEPIDLE) == 1);
  CHECK(Option(fd, IPPROTO_TCP, TCP_KEEPINTVL) == 1);
  CHECK(Option(fd, IPPROTO_TCP, TCP_KEEPCNT) == 1);
  CHECK(Option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT) == 700);
  close(fd);
}

}  // namespace
}  // namespace damasktack
