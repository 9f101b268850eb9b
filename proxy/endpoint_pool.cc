#include "proxy/endpoint_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

// A connection is given up so long before its endpoint closes it: a request
// needs some of that time to arrive.
constexpr Duration kBeforeClose = std::chrono::milliseconds(500);

// An endpoint that sends bytes nobody asked for would have them taken for the
// answer to the next call; one that has closed would make that call's outcome
// unknown. Either shows as a readable socket, so only a silent one is fit.
bool IsSilent(Tcp::socket& socket) {
  char byte = 0;
  const ssize_t n =
      recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace

EndpointPool::EndpointPool(Duration longest_idle)
    : longest_idle_(longest_idle) {}

std::optional<Tcp::socket> EndpointPool::Take(const EndpointTarget& target,
                                              TimePoint now) {
  return TakeWithin(target, longest_idle_, now);
}

std::optional<Tcp::socket> EndpointPool::TakeYoung(const EndpointTarget& target,
                                                   Duration youngest,
                                                   TimePoint now) {
  return TakeWithin(target, std::min(youngest, longest_idle_), now);
}

// Connections to a process that has ended without closing them swallow what is
// sent: the next call there would wait until its deadline, with an outcome that
// nobody knows. Once another process is meant, none of them is used.
std::optional<Tcp::socket> EndpointPool::TakeWithin(
    const EndpointTarget& target,
    Duration longest,
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
    // An endpoint closes what idles for too long; a call written just then
    // has an unknown outcome. Young connections do not meet that moment.
    const bool is_fit = now < last.until && now - last.since < longest;
    if (is_fit && IsSilent(last.socket)) {
      return std::move(last.socket);
    }
  }
  return std::nullopt;
}

void EndpointPool::Put(const EndpointTarget& target,
                       Tcp::socket socket,
                       TimePoint now,
                       std::optional<Duration> stated_idle) {
  Lose(target.address);
  Connections& connections = by_address_[target.address];
  const bool has_room =
      connections.used + connections.idle.size() < target.connections;
  if (has_room && connections.BelongTo(target)) {
    const Duration idle = std::min(
        longest_idle_, stated_idle.value_or(Duration::max()) - kBeforeClose);
    connections.idle.push_back(Idle{std::move(socket), now, now + idle});
  }
}

void EndpointPool::Lose(const SocketAddress& address) {
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
