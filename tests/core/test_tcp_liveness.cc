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

// Packets on the loopback interface cannot be dropped without privileges, so
// the test only checks the options that the kernel reports.
TEST_CASE("lost connection detection sets the options of the kernel") {
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
