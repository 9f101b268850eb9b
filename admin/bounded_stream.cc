#include "admin/bounded_stream.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace damasktack {

BoundedStream::BoundedStream(socket_t socket,
                             StreamLimits limits,
                             TimePoint now)
    : socket_(socket),
      limits_(limits),
      read_deadline_(now + limits.read_timeout) {}

bool BoundedStream::WaitFor(short events, Duration timeout) const {
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
  pollfd state{socket_, events, 0};
  int n = 0;
  do {
    n = poll(&state, 1, static_cast<int>(std::max<std::int64_t>(ms, 0)));
  } while (n < 0 && errno == EINTR);
  return n > 0;
}

bool BoundedStream::is_readable() const {
  return read_bytes_ < limits_.read_bytes &&
         WaitFor(POLLIN, read_deadline_ - Clock::now());
}

bool BoundedStream::is_writable() const {
  return WaitFor(POLLOUT, limits_.write_timeout);
}

ssize_t BoundedStream::read(char* data, std::size_t size) {
  if (!is_readable()) {
    return -1;
  }
  const ssize_t n =
      recv(socket_, data, std::min(size, limits_.read_bytes - read_bytes_), 0);
  read_bytes_ += n > 0 ? static_cast<std::size_t>(n) : 0;
  return n;
}

ssize_t BoundedStream::write(const char* data, std::size_t size) {
  if (!is_writable()) {
    return -1;
  }
  return send(socket_, data, size, MSG_NOSIGNAL);
}

void BoundedStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

void BoundedStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ip.clear();
  port = 0;
}

}  // namespace damasktack
