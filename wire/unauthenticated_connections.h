#ifndef WIRE_UNAUTHENTICATED_CONNECTIONS_H_
#define WIRE_UNAUTHENTICATED_CONNECTIONS_H_

#include <chrono>
#include <cstddef>

#include "wire/peer_link.h"

namespace damasktack::detail {

// Accepted connections whose peers are not authenticated yet, bounded in number
// and age. Used on the transport's thread only.
class UnauthenticatedConnections {
 public:
  UnauthenticatedConnections(std::size_t max_connections,
                             std::chrono::milliseconds proof_timeout)
      : max_connections_(max_connections), proof_timeout_(proof_timeout) {}

  // Returns false if the maximum number is reached.
  bool Add(const Handle& handle, SteadyTime now);
  // Returns true if the connection was in the set.
  bool Remove(const Handle& handle) { return since_.erase(handle) > 0; }
  // Removes connections that ended without a notification from the websocket
  // library.
  void Expire(SteadyTime now);

 private:
  const std::size_t max_connections_;
  const std::chrono::milliseconds proof_timeout_;
  HandleMap<SteadyTime> since_;
};

}  // namespace damasktack::detail

#endif  // WIRE_UNAUTHENTICATED_CONNECTIONS_H_
