#include "admin/bounded_server.h"

#include <sys/socket.h>
#include <unistd.h>

namespace damasktack {

namespace {

bool HasRequest(socket_t socket, Duration timeout) {
  return BoundedStream(socket, {1, timeout, {}}, Clock::now()).is_readable();
}

}  // namespace

BoundedServer::BoundedServer(StreamLimits limits, Duration first_byte_timeout)
    : limits_(limits), first_byte_timeout_(first_byte_timeout) {}

bool BoundedServer::process_and_close_socket(socket_t socket) {
  bool is_served = false;
  if (HasRequest(socket, first_byte_timeout_)) {
    BoundedStream stream(socket, limits_, Clock::now());
    constexpr bool kClosesConnection = true;
    bool is_closed = false;
    is_served = process_request(stream, kClosesConnection, is_closed, nullptr);
  }
  shutdown(socket, SHUT_RDWR);
  close(socket);
  return is_served;
}

}  // namespace damasktack
