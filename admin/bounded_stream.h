#ifndef ADMIN_BOUNDED_STREAM_H_
#define ADMIN_BOUNDED_STREAM_H_

#include <httplib.h>

#include <cstddef>

#include "core/time.h"

namespace damasktack {

// Limits of one request.
struct StreamLimits {
  // Of the head, the body and everything between chunks together.
  std::size_t read_bytes = 0;
  // Until the whole request has arrived.
  Duration read_timeout{};
  // Until the caller takes the next part of the answer.
  Duration write_timeout{};
};

// The stream of one connection of cpp-httplib's server. Reading fails once a
// limit is reached: the library itself reads header lines, chunk sizes and
// trailers of any length, and its timeout starts anew with each byte.
class BoundedStream : public httplib::Stream {
 public:
  BoundedStream(socket_t socket, StreamLimits limits, TimePoint now);

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  // No route uses the addresses; both are left empty.
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  bool WaitFor(short events, Duration timeout) const;

  const socket_t socket_;
  const StreamLimits limits_;
  const TimePoint read_deadline_;
  std::size_t read_bytes_ = 0;
};

}  // namespace damasktack

#endif  // ADMIN_BOUNDED_STREAM_H_
