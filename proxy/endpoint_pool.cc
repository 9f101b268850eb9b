#include "proxy/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

// A connection is not used in this time before its endpoint closes it, because
// a request needs some time to arrive.
constexpr Duration kCloseMargin = std::chrono::milliseconds(500);

bool Fulfils(const EndpointConnection& connection,
             Duration idle_for,
             const ConnectionNeeds& needs) {
  const AnswerMatcher& answers = connection.answers();
  return idle_for < needs.max_idle.value_or(Duration::max()) &&
         (answers.is_certain() || !needs.needs_certainty) &&
         !answers.HasCarried(needs.call) &&
         std::ranges::count(needs.avoided, connection.id()) == 0;
}

}  // namespace

EndpointPool::EndpointPool(Duration max_idle, MemoryBudget* memory)
    : max_idle_(max_idle), memory_(memory) {}

std::vector<EndpointPool::Idle>::iterator EndpointPool::Find(
    std::vector<Idle>& idle,
    const ConnectionNeeds& needs,
    TimePoint now) {
  auto found = idle.end();
  for (auto it = idle.end(); it != idle.begin();) {
    --it;
    if (!Fulfils(it->connection, now - it->since, needs)) {
      continue;
    }
    if (!needs.prefers_uncertain || !it->connection.answers().is_certain()) {
      return it;
    }
    if (found == idle.end()) {
      found = it;
    }
  }
  return found;
}

// Requests on connections to a process that ended without closing them are
// lost: the next call would wait until its deadline, with an unknown outcome.
// Therefore all connections are dropped once the target is another process.
std::optional<EndpointConnection> EndpointPool::Take(
    const EndpointTarget& target,
    TimePoint now,
    const ConnectionNeeds& needs) {
  Connections& connections = by_address_[target.address];
  if (!connections.BelongTo(target)) {
    connections.idle.clear();
    connections.id = target.id;
    connections.started_at = target.started_at;
  }
  ++connections.used;
  std::vector<Idle>& idle = connections.idle;
  // A call that is written while the endpoint closes an idle connection has an
  // unknown outcome. Recently used connections are not affected.
  std::erase_if(idle, [&](const Idle& it) {
    return now >= it.until || now - it.since >= max_idle_;
  });
  for (auto it = Find(idle, needs, now); it != idle.end();
       it = Find(idle, needs, now)) {
    Idle found = std::move(*it);
    idle.erase(it);
    if (found.connection.IsReady()) {
      return std::move(found.connection);
    }
  }
  return std::nullopt;
}

// Connections that every call may use are worth more than those that only some
// may use, so one of these makes room for them.
void EndpointPool::Put(const EndpointTarget& target,
                       EndpointConnection connection,
                       TimePoint now,
                       std::optional<Duration> stated_idle) {
  Discard(target.address);
  Connections& connections = by_address_[target.address];
  std::vector<Idle>& kept = connections.idle;
  if (!connections.BelongTo(target)) {
    return;
  }
  const auto uncertain = std::ranges::find_if(kept, [](const Idle& it) {
    return !it.connection.answers().is_certain();
  });
  std::size_t total = connections.used + kept.size();
  if (total == target.connections && uncertain != kept.end() &&
      connection.answers().is_certain()) {
    kept.erase(uncertain);
    --total;
  }
  if (total < target.connections) {
    const Duration idle = std::min(
        max_idle_, stated_idle.value_or(Duration::max()) - kCloseMargin);
    kept.push_back(Idle{std::move(connection), now, now + idle});
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
