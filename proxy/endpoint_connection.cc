#include "proxy/endpoint_connection.h"

#include <sys/socket.h>

#include <atomic>
#include <cerrno>
#include <utility>

namespace damasktack {

namespace {

ConnectionId NextId() {
  static std::atomic<ConnectionId> last = 0;
  return ++last;
}

}  // namespace

EndpointConnection::EndpointConnection(Tcp::socket socket, MemoryBudget* memory)
    : id_(NextId()),
      socket_(std::move(socket)),
      buf_(kMaxUnreadBytes,
           MemoryAccount(memory, MemoryBudget::Source::kAnswer)) {}

bool EndpointConnection::IsReady() {
  char byte = 0;
  const ssize_t n =
      recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  const bool has_no_input =
      n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK) && buf_.size() == 0;
  return has_no_input && answers_.is_settled();
}

}  // namespace damasktack
