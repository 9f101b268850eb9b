#ifndef FLEET_ENDPOINT_RATES_H_
#define FLEET_ENDPOINT_RATES_H_

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

#include "core/token_bucket.h"
#include "fleet/endpoint_rate_messages.h"

namespace damasktack {

// The last statement of an endpoint about the request rate that it accepts.
struct StatedRate {
  EndpointProcess endpoint;
  // Requests per second from all hosts together; null if the endpoint states no
  // limit any more.
  std::optional<double> rate_limit;
  // The time of the statement by this host's clock.
  TimePoint at;

  bool operator==(const StatedRate&) const = default;
};

EndpointRateReport MakeEndpointRateReport(const std::vector<StatedRate>& rates,
                                          TimePoint now);

// Stores the rate limits that endpoints have stated to this host and its peers.
// The latest statement of each endpoint applies. Thread-safe.
class EndpointRates {
 public:
  // Maximum number of endpoints. If exceeded, the oldest statement is evicted.
  static constexpr std::size_t kMaxEndpoints = 1024;
  // Rate limit and burst of the updates that one host sends. Bounds its
  // messages if endpoints change their limit with every answer. An update over
  // the limit is sent with the next change.
  static constexpr double kUpdatesPerSecond = 5;
  static constexpr double kUpdateBurst = 20;

  // Records a statement that an endpoint made to this host.
  void OnStated(const StatedRate& stated);
  // Adds the statements in a peer's report; returns those that changed a limit.
  std::vector<StatedRate> Take(const EndpointRateReport& report, TimePoint now);
  // Returns and clears the statements made to this host since the last call.
  std::vector<StatedRate> TakeUpdates();
  // Returns all limits in force.
  std::vector<StatedRate> InForce() const;

  // Removes processes that are not listed, except those with a recent
  // statement, whose list entry may not have arrived yet.
  void ForgetUnlisted(
      const std::function<bool(const EndpointProcess&)>& is_listed,
      TimePoint now);

  // Set functions that run when there are updates to share, and when a peer's
  // report changed a limit. They run on the thread that caused it, without the
  // mutex held. To be set before the first statement, or while no statement is
  // being processed.
  void SetOnUpdates(std::function<void()> on_updates);
  void SetOnReceived(std::function<void(const StatedRate&)> on_received);

 private:
  // Stores a statement; returns whether it changes the known limit. The caller
  // must hold the mutex.
  bool Update(const StatedRate& stated);
  void EvictOldestIfFull();

  mutable std::mutex mutex_;
  std::map<EndpointProcess, StatedRate> rates_;
  // Endpoints with updates that have not been sent to peers.
  std::set<EndpointProcess> unshared_;
  TokenBucket budget_{kUpdatesPerSecond, kUpdateBurst};
  std::function<void()> on_updates_;
  std::function<void(const StatedRate&)> on_received_;
};

}  // namespace damasktack

#endif  // FLEET_ENDPOINT_RATES_H_
