#ifndef PROXY_SERVICE_DISPATCHER_H_
#define PROXY_SERVICE_DISPATCHER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "fleet/endpoint_rates.h"
#include "policy/balancer.h"
#include "proxy/endpoint_pool.h"

namespace damasktack {

// What a waiting call learns: an endpoint to send to, or a refusal.
struct Placement {
  Refusal refusal = Refusal::kNone;
  EndpointIndex endpoint = 0;
  EndpointTarget target;
  // Of a refusal; zero where only what is usual for it is known.
  Duration retry_after{};
  DecisionBasis basis{};
};

struct ProbeOrder {
  EndpointIndex endpoint = 0;
  EndpointTarget target;
};

// How one daemon shares out an endpoint's connections.
struct ConnectionShare {
  std::int64_t threads = 1;
  // No thread keeps more, whatever the endpoint accepts.
  std::int64_t most = 16;
};

// What measuring one service has cost this daemon.
struct ProbeCost {
  std::uint64_t probes = 0;
  // Sent and received.
  std::uint64_t bytes = 0;
};

// Shares one service's balancer among the I/O threads: serialises the events
// and tells each waiting call its placement.
class ServiceDispatcher {
 public:
  // Runs on the thread whose event led to the placement, outside the lock.
  using OnPlaced = std::function<void(const Placement&)>;

  // `on_waiting` runs after an event that left calls waiting, on the thread
  // of the event; their owner then has probes to send and time to keep. `rates`
  // hears which limits endpoints state, and must outlive the dispatcher.
  ServiceDispatcher(std::unique_ptr<Balancer> balancer,
                    ConnectionShare share,
                    EndpointRates& rates,
                    std::function<void()> on_waiting);

  // See Balancer::SetHostNumber.
  void SetHostNumber(const HostNumber& seat);
  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now);
  // `on_placed` runs exactly once, unless Withdraw returned true.
  void Offer(const CallOffer& offer, OnPlaced on_placed, TimePoint now);
  bool Withdraw(CallToken token, TimePoint now);
  // With kRetry the call waits again and `on_placed` runs once more.
  AfterSend Finish(const CallOffer& offer,
                   const SendEnd& end,
                   OnPlaced on_placed,
                   TimePoint now);
  // When a caller whose call did not run may come back; zero where only what is
  // usual for the failure is known.
  Duration RetryAfterSend(const CallOffer& offer,
                          const SendEnd& end,
                          TimePoint now);
  // What the answer to a probe says.
  void Report(EndpointIndex endpoint,
              const EndpointReport& report,
              TimePoint now);
  // The same; passed over where another process has the index by now, which
  // would count as leaving for good.
  void OnProbeSignals(const ProbeOrder& probe,
                      const EndpointSignals& signals,
                      TimePoint now);
  void ProbeFailed(EndpointIndex endpoint, SendResult result, TimePoint now);
  // Another host was told of an endpoint's rate limit.
  void HearRate(const StatedRate& stated);
  // Another host has seen the endpoint drain.
  void OnPeerDrain(const EndpointId& endpoint, TimePoint now);
  // Endpoints that told this host itself that they drain, since the last call.
  // What was only heard is not among them, so that hosts do not keep a mistake
  // alive between them.
  std::set<EndpointId> TakeDrainSightings();
  // Whether calls wait afterwards.
  bool Tick(TimePoint now);
  bool probes_while_idle() const { return balancer_->probes_while_idle(); }
  std::optional<ProbeOrder> NextProbe(TimePoint now);
  BalancerStatus Status(TimePoint now) const;

  void CountProbe(std::uint64_t bytes);
  ProbeCost probe_cost() const;

 private:
  struct Placed {
    OnPlaced on_placed;
    Placement placement;
  };

  // Turns decisions into placements; the caller holds the lock.
  std::vector<Placed> Resolve(const Decisions& decisions);
  void Tell(std::vector<Placed>& placed, bool waiting);
  // The caller holds the lock.
  void LogChanges();
  void NoteDrain(EndpointIndex endpoint, const EndpointReport& report);
  // What changed in the limit that the endpoint stated, where it did.
  template <typename Take>
  std::optional<StatedRate> TakeSignals(EndpointIndex endpoint,
                                        TimePoint now,
                                        Take take);
  // Outside the lock: the hosts' exchange has one of its own.
  void TellRate(const std::optional<StatedRate>& stated);
  EndpointTarget TargetOf(EndpointIndex endpoint) const;

  const ConnectionShare share_;
  EndpointRates& rates_;
  std::atomic<std::uint64_t> probes_ = 0;
  std::atomic<std::uint64_t> probe_bytes_ = 0;
  mutable std::mutex mutex_;
  std::int64_t hosts_ = 1;
  std::string health_path_;
  const std::unique_ptr<Balancer> balancer_;
  const std::function<void()> on_waiting_;
  std::unordered_map<CallToken, OnPlaced> waiting_;
  std::set<EndpointId> drain_sightings_;
};

}  // namespace damasktack

#endif  // PROXY_SERVICE_DISPATCHER_H_
