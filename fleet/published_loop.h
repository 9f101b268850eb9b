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
#include "fleet/published_feed.h"
#include "fleet/published_source.h"
#include "wire/peer_transport.h"

namespace damasktack {

// What is published, as one host knows it now.
struct PublishedState {
  std::shared_ptr<const RouteTable> routes;
  std::vector<PublishedEndpoint> endpoints;
  // Their endpoints are to get no calls.
  std::vector<ZoneId> drained_zones;
  // Hosts that share the endpoints; 0 where it is not known.
  std::int64_t hosts = 0;
  // This host's place among them.
  HostNumber seat;
};

// Hears of changes, on a thread of the loop or of the links; must not block
// for long.
class PublishedLoopEvents {
 public:
  virtual ~PublishedLoopEvents() = default;

  virtual void OnPublished(const PublishedState& state) = 0;
};

// Runs a PublishedFeed: calls the store on a thread of its own and exchanges
// messages over the links of a transport.
class PublishedLoop : public PeerTransportEvents {
 public:
  PublishedLoop(PublishedFeedOptions options,
                PublishedSource& source,
                PublishedLoopEvents& events,
                std::uint64_t random_seed);
  ~PublishedLoop() override;

  // Exchanges evidence on crashes over the same links. Before Start; must
  // outlive Stop.
  void ShareCrashes(RequestQuarantine& quarantine);
  // The same with the rate limits that endpoints state.
  void ShareRates(EndpointRates& rates);
  // `transport` may be null: then this host reads the store alone. It must
  // outlive Stop.
  void Start(PeerTransport* transport);
  void Stop();

  // Other hosts at which peers find each other from now on.
  void SetSeeds(std::vector<SocketAddress> seeds);

  FeedCounters counters() const;
  bool reads_store() const;
  // How old the knowledge is; null before the first.
  std::optional<Duration> Age(TimePoint now) const;

  void OnLinkUp(const std::string& host, std::uint64_t incarnation) override;
  void OnLinkDown(const std::string& host, std::uint64_t incarnation) override;
  void OnFrame(const std::string& host,
               std::uint64_t incarnation,
               std::string frame) override;

 private:
  void Run();
  void CarryOut(const FeedStep& step);
  // What `call` returns goes to the feed, or its error does.
  template <typename Call, typename Take>
  void CallStore(Call call, Take take);
  // Sends what is to be sent and tells the owner of changes; the caller holds
  // the lock, which is released meanwhile.
  void Settle(std::unique_lock<std::mutex>& lock);
  void SendFrames(const std::vector<Outbox::Parcel>& parcels);
  // The caller holds the lock.
  void ExchangeCrashes(const HostId& host, const PeerMessage& message);
  void ExchangeRates(const HostId& host, const PeerMessage& message);
  // Sends what an exchange has to tell. On the thread of the call that brought
  // the news: the loop's own may be waiting for the store.
  template <typename Exchange>
  void SendNews(std::optional<Exchange>& exchange);
  void ListenForNews();
  void StopListening();

  PublishedSource& source_;
  PublishedLoopEvents& events_;
  PeerTransport* transport_ = nullptr;
  std::thread thread_;
  std::atomic<bool> running_ = false;

  // Changes reach the owner in their order.
  std::mutex telling_;
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  PublishedFeed feed_;
  // Null where no evidence is exchanged.
  std::optional<CrashExchange> crashes_;
  std::optional<EndpointRateExchange> rate_exchange_;
  Outbox out_;
  std::vector<SocketAddress> seeds_;
  // Hosts of the fleet as the owner was told last.
  std::int64_t told_hosts_ = 0;
  HostNumber told_seat_;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_LOOP_H_
