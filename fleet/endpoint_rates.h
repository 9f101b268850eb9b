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

// What an endpoint said last of the rate that it takes.
struct StatedRate {
  EndpointProcess endpoint;
  // Requests a second from all hosts; null where it states no limit any more.
  std::optional<double> rate_limit;
  // By this host's clock.
  TimePoint at;

  bool operator==(const StatedRate&) const = default;
};

EndpointRateReport MakeEndpointRateReport(const std::vector<StatedRate>& rates,
                                          TimePoint now);

// The rate limits that endpoints state, as this host and its peers were told;
// the newest statement on each endpoint counts. Safe to use from several
// threads.
class EndpointRates {
 public:
  // Endpoints that are remembered; the oldest statement makes room.
  static constexpr std::size_t kMost = 1024;
  // News a second that one host tells, and at once: what bounds its messages
  // where endpoints change their minds with each answer. What has to wait is
  // told with the next change.
  static constexpr double kUpdatesPerSecond = 5;
  static constexpr double kUpdateBurst = 20;

  // An endpoint itself has told this host of a change.
  void OnStated(const StatedRate& stated);
  // Takes in what a peer has told; returns what of it was news.
  std::vector<StatedRate> Take(const EndpointRateReport& report, TimePoint now);
  // What this host was told itself since the last call.
  std::vector<StatedRate> TakeUpdates();
  // All limits in force.
  std::vector<StatedRate> InForce() const;

  // Forgets processes that are not listed, unless they were heard of just now:
  // their entry may still be on its way.
  void ForgetUnlisted(
      const std::function<bool(const EndpointProcess&)>& is_listed,
      TimePoint now);

  // Run on the thread that brought the news, outside the lock. To be set before
  // the first statement, or with no statement under way.
  void SetOnUpdates(std::function<void()> on_news);
  void SetOnReceived(std::function<void(const StatedRate&)> on_heard);

 private:
  // Whether it says something that was not known; the caller holds the lock.
  bool Keep(const StatedRate& stated);
  void MakeRoom();

  mutable std::mutex mutex_;
  std::map<EndpointProcess, StatedRate> rates_;
  // Those that peers have not been told of.
  std::set<EndpointProcess> untold_;
  TokenBucket budget_{kUpdatesPerSecond, kUpdateBurst};
  std::function<void()> on_news_;
  std::function<void(const StatedRate&)> on_heard_;
};

}  // namespace damasktack

#endif  // FLEET_ENDPOINT_RATES_H_
