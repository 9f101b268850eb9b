#ifndef FLEET_PUBLISHED_LOOP_H_
#define FLEET_PUBLISHED_LOOP_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "fleet/crash_exchange.h"
#include "fleet/endpoint_rate_exchange.h"
#include "fleet/overload/overload_exchange.h"
#include "fleet/published_feed.h"
#include "fleet/published_source.h"
#include "fleet/relay_exchange.h"
#include "wire/peer_transport.h"

namespace damasktack {

// Snapshot of the published data of one host.
struct PublishedState {
  std::shared_ptr<const RouteTable> routes;
  std::vector<PublishedEndpoint> endpoints;
  // Endpoints in these zones must not receive requests.
  std::vector<ZoneId> drained_zones;
  // Number of hosts that share the endpoints; 0 if unknown.
  std::int64_t hosts = 0;
  // This host's number among these hosts.
  HostNumber seat;
};

// Receives changes on a thread of the loop or of the transport. Implementations
// must not block for long.
class PublishedLoopEvents {
 public:
  virtual ~PublishedLoopEvents() = default;

  virtual void OnPublished(const PublishedState& state) = 0;
};

// Runs a PublishedFeed: performs its store calls on a dedicated thread and
// exchanges its messages over a peer transport.
class PublishedLoop : public PeerTransportEvents {
 public:
  PublishedLoop(PublishedFeedOptions options,
                PublishedSource& source,
                PublishedLoopEvents& events,
                std::uint64_t random_seed);
  ~PublishedLoop() override;

  // Shares crash reports over the same links. Must be called before Start;
  // `quarantine` must outlive Stop.
  void ShareCrashes(RequestQuarantine& quarantine);
  // Shares the rate limits stated by endpoints, under the same conditions.
  void ShareRates(EndpointRates& rates);
  // Shares the loads of services that are short of slots, under the same
  // conditions.
  void ShareOverload(OverloadView& overload);
  // Finds peers for relayed calls, under the same conditions.
  void ShareRelays(RelayDirectory& relays);
  // Starts the loop. Without a transport (null) this host only reads the store.
  // `transport` must outlive Stop.
  void Start(PeerTransport* transport);
  void Stop();

  // Replaces the seeds.
  void SetSeeds(std::vector<SocketAddress> seeds);

  FeedCounters counters() const;
  bool reads_store() const;
  // Returns the store's era in this host's data.
  StoreEra store_era() const;
  // Returns the time since the store last confirmed the data; null before the
  // first confirmation.
  std::optional<Duration> Age(TimePoint now) const;

  void OnLinkUp(const std::string& host, std::uint64_t incarnation) override;
  void OnLinkDown(const std::string& host, std::uint64_t incarnation) override;
  void OnFrame(const std::string& host,
               std::uint64_t incarnation,
               std::string frame) override;

 private:
  void Run();
  void Execute(const FeedStep& step);
  // Passes the result of `call` to `take`, or its error to the feed.
  template <typename Call, typename Take>
  void CallStore(Call call, Take take);
  // Sends pending messages and reports changes to the owner. Called with the
  // lock held; releases it temporarily.
  void PublishChanges(std::unique_lock<std::mutex>& lock);
  void SendFrames(const std::vector<Outbox::Multicast>& parcels);
  // Called with the lock held.
  void ExchangeCrashes(const HostId& host, const PeerMessage& message);
  void ExchangeRates(const HostId& host, const PeerMessage& message);
  void ExchangeRelays(const HostId& host, const PeerMessage& message);
  void ExchangeOverload(const HostId& host, const PeerMessage& message);
  // Sends pending reports of an exchange. Runs on the thread of the request
  // that produced them, because the loop thread may be waiting for the store.
  template <typename Exchange>
  void SendExchangeUpdate(std::optional<Exchange>& exchange);
  // Applies `action` to each exchange that is in use.
  template <typename Action>
  void ForEachExchange(Action action);
  void ConnectExchanges();
  void DisconnectExchanges();

  PublishedSource& source_;
  PublishedLoopEvents& events_;
  PeerTransport* transport_ = nullptr;
  std::thread thread_;
  std::atomic<bool> running_ = false;

  // Held while the owner is notified, so that changes reach it in order.
  std::mutex notify_mutex_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  PublishedFeed feed_;
  // Null if crash reports are not exchanged.
  std::optional<CrashExchange> crashes_;
  std::optional<EndpointRateExchange> rate_exchange_;
  std::optional<RelayExchange> relay_exchange_;
  std::optional<OverloadExchange> overload_exchange_;
  Outbox out_;
  std::vector<SocketAddress> seeds_;
  // Fleet size last reported to the owner.
  std::int64_t reported_hosts_ = 0;
  HostNumber reported_number_;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_LOOP_H_
