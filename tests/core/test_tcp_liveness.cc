#include "core/tcp_liveness.h"

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace damasktack {
namespace {

using std::chrono::milliseconds;

int Option(int socket, int level, int option) {
  int value = 0;
  socklen_t size = sizeof(value);
  getsockopt(socket, level, option, &value, &size);
  return value;
}

// Checks the options that the kernel reports; tests/proxy/test_long_requests.cc
// loses a peer.
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

// Guards against a peer that is given up although its kernel answers, or is not
// given up although data stays unanswered.
TEST_CASE("a peer is silent after data was unanswered for the limit") {
  SilenceDetector detector(milliseconds(1000));
  const TimePoint start;
  const auto is_silent = [&](int at, bool awaits, int since_answer) {
    return detector.IsSilent(
        {true, awaits, false, 0, milliseconds(since_answer)},
        start + milliseconds(at));
  };
  CHECK(!is_silent(0, false, 5000));
  // A connection that was idle for long: the time counts from the first check.
  CHECK(!is_silent(100, true, 5000));
  CHECK(!is_silent(1000, true, 5900));
  CHECK(is_silent(1100, true, 6000));
  // An answer to earlier data in between.
  CHECK(!is_silent(1200, true, 50));
  CHECK(!is_silent(2100, true, 950));
  CHECK(is_silent(2150, true, 1000));
  CHECK(!is_silent(2200, false, 1050));
  CHECK(!is_silent(2300, true, 1150));
}

// Guards against giving up a peer that reads slowly: its kernel answers window
// probes, but not one that follows an answer within half a second.
TEST_CASE("a window probe counts only if the peer would answer it") {
  SilenceDetector detector(milliseconds(1000));
  const TimePoint start;
  const auto is_silent = [&](int at, int probes, int since_answer) {
    return detector.IsSilent(
        {true, false, false, probes, milliseconds(since_answer)},
        start + milliseconds(at));
  };
  CHECK(!is_silent(700, 1, 450));
  CHECK(!is_silent(1600, 1, 1350));
  CHECK(!is_silent(1700, 2, 1450));
  CHECK(!is_silent(1800, 0, 50));
  CHECK(!is_silent(3400, 1, 1650));
  CHECK(!is_silent(4300, 1, 2550));
  CHECK(is_silent(4400, 1, 2650));
}

// Guards against reliance on values that the kernel does not provide.
TEST_CASE("progress is read from connected sockets only where it is known") {
  CHECK(!ReadTcpProgress(-1));
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  REQUIRE(fd >= 0);
  CHECK(!ReadTcpProgress(fd));
  close(fd);
}

}  // namespace
}  // namespace damasktack
