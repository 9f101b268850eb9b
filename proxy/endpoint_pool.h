#ifndef PROXY_ENDPOINT_POOL_H_
#define PROXY_ENDPOINT_POOL_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "contract/service.h"
#include "core/ids.h"
#include "core/json_reader.h"
#include "core/memory_budget.h"
#include "core/time.h"
#include "proxy/endpoint_connection.h"
#include "proxy/http_types.h"

namespace damasktack {

// An endpoint to connect to and the number of connections that this I/O thread
// may keep to it, which is the thread's share of the connections that the
// endpoint accepts from the whole fleet.
struct EndpointTarget {
  SocketAddress address;
  std::size_t connections = 1;
  // The endpoint that the request is meant for; its address may have been
  // reassigned to another endpoint.
  EndpointId id = {};
  std::string health_path = {};
  EndpointStart started_at = {};
};

// What a request needs of the connection that it is written on.
struct ConnectionNeeds {
  // Maximum idle time; null means that of the pool.
  std::optional<Duration> max_idle = {};
  // Only a connection on which every earlier answer was matched for certain.
  bool needs_certainty = false;
  // Prefers connections that calls cannot use.
  bool prefers_uncertain = false;
  // Never a connection that has recently carried this call; empty means none.
  std::string call = {};
  // Never one of these connections.
  std::vector<ConnectionId> avoided = {};
};

// Pool of idle connections to endpoints, for one I/O thread. Also counts the
// connections in use, so that idle and used connections together stay within
// the thread's share.
class EndpointPool {
 public:
  // Connections that have been idle for longer than `max_idle` are closed.
  // What its connections read is taken from `memory`; null means no limit.
  explicit EndpointPool(Duration max_idle, MemoryBudget* memory = nullptr);

  MemoryBudget* memory() const { return memory_; }

  // Returns a usable idle connection, or null if there is none. Each Take must
  // be followed by exactly one Put or Discard.
  std::optional<EndpointConnection> Take(const EndpointTarget& target,
                                         TimePoint now,
                                         const ConnectionNeeds& needs = {});
  // Returns a connection to the pool after an answer that ended cleanly.
  // `stated_idle` is the endpoint's own idle timeout, if it stated one.
  void Put(const EndpointTarget& target,
           EndpointConnection connection,
           TimePoint now,
           std::optional<Duration> stated_idle = std::nullopt);
  // Records that a connection from Take, or one opened in its place, has been
  // closed.
  void Discard(const SocketAddress& address);
  // Closes the idle connections to an endpoint that is shutting down.
  void CloseIdle(const SocketAddress& address);
  // Closes connections that have been idle for too long.
  void Expire(TimePoint now);
  void CloseAll();

  std::size_t idle(const SocketAddress& address) const;

 private:
  struct Idle {
    EndpointConnection connection;
    TimePoint since;
    TimePoint until;
  };
  struct Connections {
    std::vector<Idle> idle;
    std::size_t used = 0;
    // The endpoint process that these connections belong to.
    EndpointId id;
    EndpointStart started_at;

    bool BelongTo(const EndpointTarget& target) const {
      return id == target.id && started_at == target.started_at;
    }
  };

  // Returns an element of `idle` that fulfils `needs`, preferably one used
  // lately.
  static std::vector<Idle>::iterator Find(std::vector<Idle>& idle,
                                          const ConnectionNeeds& needs,
                                          TimePoint now);

  const Duration max_idle_;
  MemoryBudget* const memory_;
  std::map<SocketAddress, Connections> by_address_;
};

}  // namespace damasktack

#endif  // PROXY_ENDPOINT_POOL_H_
