#include "proxy/endpoint_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

// A connection is not used in this time before its endpoint closes it, because
// a request needs some time to arrive.
constexpr Duration kCloseMargin = std::chrono::milliseconds(500);

// Unsolicited bytes from an endpoint would be taken for the answer to the next
// call, and on a connection that the endpoint has closed that call's outcome
// would be unknown. Both make the socket readable, so only a socket without
// input is usable.
bool HasNoPendingInput(Tcp::socket& socket) {
  char byte = 0;
  const ssize_t n =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

EndpointPool::EndpointPool(Duration max_idle) : max_idle_(max_idle) {}

std::optional<Tcp::socket> EndpointPool::Take(const EndpointTarget& target,
                                              TimePoint now) {
  return TakeWithin(target, max_idle_, now);
}

std::optional<Tcp::socket> EndpointPool::TakeRecentlyUsed(
    const EndpointTarget& target,
    Duration max_idle,
    TimePoint now) {
  return TakeWithin(target, std::min(max_idle, max_idle_), now);
}

// Requests on connections to a process that ended without closing them are
// lost: the next call would wait until its deadline, with an unknown outcome.
// Therefore all connections are dropped once the target is another process.
std::optional<Tcp::socket> EndpointPool::TakeWithin(
    const EndpointTarget& target,
    Duration max_idle,
    TimePoint now) {
  Connections& connections = by_address_[target.address];
  if (!connections.BelongTo(target)) {
    connections.idle.clear();
    connections.id = target.id;
    connections.started_at = target.started_at;
  }
  ++connections.used;
  std::vector<Idle>& idle = connections.idle;
  while (!idle.empty()) {
    Idle last = std::move(idle.back());
    idle.pop_back();
    // A call that is written while the endpoint closes an idle connection has
    // an unknown outcome. Recently used connections are not affected.
    const bool is_usable = now < last.until && now - last.since < max_idle;
    if (is_usable && HasNoPendingInput(last.socket)) {
      return std::move(last.socket);
    }
  }
  return std::nullopt;
}

void EndpointPool::Put(const EndpointTarget& target,
                       Tcp::socket socket,
                       TimePoint now,
                       std::optional<Duration> stated_idle) {
  Discard(target.address);
  Connections& connections = by_address_[target.address];
  const bool has_room =
      connections.used + connections.idle.size() < target.connections;
  if (has_room && connections.BelongTo(target)) {
    const Duration idle = std::min(
        max_idle_, stated_idle.value_or(Duration::max()) - kCloseMargin);
    connections.idle.push_back(Idle{std::move(socket), now, now + idle});
  }
}

void EndpointPool::Discard(const SocketAddress& address) {
  --by_address_[address].used;
}

void EndpointPool::CloseIdle(const SocketAddress& address) {
  const auto it = by_address_.find(address);
  if (it != by_address_.end()) {
    it->second.idle.clear();
  }
}

void EndpointPool::Expire(TimePoint now) {
  for (auto it = by_address_.begin(); it != by_address_.end();) {
    std::erase_if(it->second.idle,
                  [&](const Idle& idle) { return now >= idle.until; });
    const bool is_empty = it->second.idle.empty() && it->second.used == 0;
    it = is_empty ? by_address_.erase(it) : std::next(it);
  }
}

void EndpointPool::CloseAll() {
  by_address_.clear();
}

std::size_t EndpointPool::idle(const SocketAddress& address) const {
  const auto it = by_address_.find(address);
  return it == by_address_.end() ? 0 : it->second.idle.size();
}

}  // namespace damasktack
