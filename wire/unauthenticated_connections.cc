#include "wire/unauthenticated_connections.h"

#include <iterator>

namespace damasktack::detail {

bool UnauthenticatedConnections::Add(const Handle& handle, SteadyTime now) {
  if (since_.size() >= max_connections_) {
    return false;
  }
  since_[handle] = now;
  return true;
}

void UnauthenticatedConnections::Expire(SteadyTime now) {
  for (auto it = since_.begin(); it != since_.end();) {
    const bool gone =
        it->first.expired() || now - it->second > 2 * proof_timeout_;
    it = gone ? since_.erase(it) : std::next(it);
  }
}

}  // namespace damasktack::detail
