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
#include "core/time.h"
#include "proxy/http_types.h"

namespace damasktack {

// Where to connect, and how many connections this I/O thread may keep there:
// its part of what the endpoint accepts from the whole fleet.
struct EndpointTarget {
  SocketAddress address;
  std::size_t connections = 1;
  // Whom the request is meant for; the address may have passed to another.
  EndpointId id = {};
  std::string health_path = {};
  EndpointStart started_at = {};
};

// Idle connections to endpoints, for one I/O thread. Counts the ones in use
// too, so that idle and used together stay within the thread's part.
class EndpointPool {
 public:
  // Connections idle for longer than `longest_idle` are closed.
  explicit EndpointPool(Duration longest_idle);

  // An idle connection that is fit for a call, if there is one. Every Take is
  // followed by one Put or one Lose.
  std::optional<Tcp::socket> Take(const EndpointTarget& target, TimePoint now);
  // The same with one that was used within `youngest` only.
  std::optional<Tcp::socket> TakeYoung(const EndpointTarget& target,
                                       Duration youngest,
                                       TimePoint now);
  // Gives back a connection whose last answer ended cleanly. `stated_idle` is
  // how long its endpoint said it keeps it unused, if it did.
  void Put(const EndpointTarget& target,
           Tcp::socket socket,
           TimePoint now,
           std::optional<Duration> stated_idle = std::nullopt);
  // The connection taken, or opened instead, has ended.
  void Lose(const SocketAddress& address);
  // Closes the idle connections to an endpoint that is leaving.
  void CloseIdle(const SocketAddress& address);
  // Closes what has been idle for too long.
  void Expire(TimePoint now);
  void CloseAll();

  std::size_t idle(const SocketAddress& address) const;

 private:
  struct Idle {
    Tcp::socket socket;
    TimePoint since;
    TimePoint until;
  };
  struct Connections {
    std::vector<Idle> idle;
    std::size_t used = 0;
    // Whose connections these are.
    EndpointId id;
    EndpointStart started_at;

    bool BelongTo(const EndpointTarget& target) const {
      return id == target.id && started_at == target.started_at;
    }
  };

  std::optional<Tcp::socket> TakeWithin(const EndpointTarget& target,
                                        Duration longest,
                                        TimePoint now);

  const Duration longest_idle_;
  std::map<SocketAddress, Connections> by_address_;
};

}  // namespace damasktack

#endif  // PROXY_ENDPOINT_POOL_H_
