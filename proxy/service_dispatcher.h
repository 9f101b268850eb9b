#ifndef PROXY_SERVICE_DISPATCHER_H_
#define PROXY_SERVICE_DISPATCHER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <unordered_map>

#include "fleet/endpoint_rates.h"
#include "policy/balancer.h"
#include "policy/endpoint_reach.h"
#include "proxy/endpoint_pool.h"
#include "proxy/service_overload.h"

namespace damasktack {

// Result for a waiting call: an endpoint to send to, or a refusal.
struct Placement {
  Refusal refusal = Refusal::kNone;
  EndpointIndex endpoint = 0;
  EndpointTarget target;
  // For a refusal; zero means the default of its kind.
  Duration retry_after{};
  DecisionBasis basis{};
};

// Decision on a second send of a call. Both are null if there is none.
struct HedgePlacement {
  std::optional<Placement> placement;
  std::optional<Duration> ask_again_after;
};

// An endpoint that must be probed now.
struct ProbeRequest {
  EndpointIndex endpoint = 0;
  EndpointTarget target;
  // The probe must use a new connection, because it asks whether the endpoint
  // can be reached.
  bool needs_new_connection = false;
};

// What a dispatcher does with calls while this host reaches no endpoint of the
// service.
enum class WhenUnreachable : std::uint8_t {
  // They wait and are sent as if endpoints failed one by one.
  kSend,
  // They are refused at once with Refusal::kUnreachable, so that the owner can
  // relay them.
  kRefuse,
};

// Limits how one daemon's threads share an endpoint's connections.
struct ConnectionShare {
  std::int64_t threads = 1;
  // Upper bound per thread, whatever the endpoint accepts.
  std::int64_t max_per_thread = 16;
};

// Total cost of probing one service from this daemon.
struct ProbeCost {
  std::uint64_t probes = 0;
  // Bytes sent and received.
  std::uint64_t bytes = 0;
};

// Gives the I/O threads access to one service's balancer: serialises the events
// and delivers each waiting call's placement.
class ServiceDispatcher {
 public:
  // Called without the lock, on the thread whose event led to the placement.
  using OnPlaced = std::function<void(const Placement&)>;
  // Called without the lock when the service becomes reachable or unreachable.
  using OnReach = std::function<void(const ServiceId&, bool is_reachable)>;

  // `on_waiting` runs after an event that left calls waiting, on the thread of
  // the event, so that probes are sent and Tick is called more often. `rates`
  // is told the rate limits that endpoints state and must outlive the
  // dispatcher.
  ServiceDispatcher(std::unique_ptr<Balancer> balancer,
                    ConnectionShare share,
                    EndpointRates& rates,
                    std::function<void()> on_waiting);

  // Must be called before the first call. `on_reach` does not run within
  // SetService; the next event reports a change by it.
  void SetWhenUnreachable(WhenUnreachable when, OnReach on_reach);
  // Restricts less urgent calls while the service is short of slots. Must be
  // called before SetService; `view` must outlive the dispatcher.
  void SetOverloadView(OverloadView& view);
  // Returns what the service is expected to serve. Null unless SetOverloadView
  // was called and routes of several urgencies lead to the service.
  std::optional<ServiceCapacity> Capacity() const;
  void RenderOverload(std::ostream& out) const;
  // See Balancer::SetHostNumber.
  void SetHostNumber(const HostNumber& host_number);
  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now);
  // Submits a call. `on_placed` runs exactly once, unless Withdraw returned
  // true.
  void Offer(const CallOffer& offer, OnPlaced on_placed, TimePoint now);
  bool Withdraw(CallToken token, TimePoint now);
  // Reports the end of a send. With kRetry the call waits again and `on_placed`
  // runs once more.
  AfterSend Finish(const CallOffer& offer,
                   const SendEnd& end,
                   OnPlaced on_placed,
                   TimePoint now);
  // See Balancer::DecideHedge.
  HedgePlacement DecideHedge(const HedgeRequest& request, TimePoint now);
  // Returns the time after which a caller whose call did not run may retry;
  // zero means the default of the failure.
  Duration RetryAfterSend(const CallOffer& offer,
                          const SendEnd& end,
                          TimePoint now);
  // Process the result of a probe: the load report in its answer, the other
  // signals in its answer, or a probe, begun at `began_at`, that returned no
  // report. They are ignored if the index belongs to another process by now: a
  // shutdown signal or a misdirected probe would otherwise remove that process
  // until it is listed again, and a report would describe it wrongly.
  void Report(const ProbeRequest& probe,
              const EndpointReport& report,
              TimePoint now);
  void OnProbeSignals(const ProbeRequest& probe,
                      const EndpointSignals& signals,
                      TimePoint now);
  void ProbeFailed(const ProbeRequest& probe,
                   SendResult result,
                   TimePoint began_at,
                   TimePoint now);
  // Applies an endpoint's rate limit that another host has reported.
  void OnPeerRateLimit(const StatedRate& stated);
  // Applies a drain of the endpoint that another host has reported.
  void OnPeerDrain(const EndpointId& endpoint, TimePoint now);
  // Returns the endpoints that have reported to this host since the last call
  // that they are draining. Reports from other hosts are excluded, because
  // hosts would otherwise keep repeating a wrong report to each other.
  std::set<EndpointId> TakeDrainObservations();
  // Returns true if calls are still waiting afterwards.
  bool Tick(TimePoint now);
  bool probes_while_idle() const { return balancer_->probes_while_idle(); }
  std::optional<ProbeRequest> NextProbe(TimePoint now);
  BalancerStatus Status(TimePoint now) const;
  // Returns false while this host reaches no endpoint of the service.
  bool IsReachable() const;
  // Returns for how long that has been so; zero if it is reachable.
  Duration UnreachableFor(TimePoint now) const;

  void CountProbe(std::uint64_t bytes);
  ProbeCost probe_cost() const;

 private:
  struct Placed {
    OnPlaced on_placed;
    Placement placement;
  };
  struct ReachChange {
    ServiceId service;
    bool is_reachable = true;
  };
  // A call that awaits its placement.
  struct WaitingEntry {
    OnPlaced on_placed;
    Urgency urgency = Urgency::kNormal;
    TimePoint deadline;
    // The balancer was not asked, so the refusal does not count as missed.
    bool is_refused_by_urgency = false;
  };
  // What an event led to, for the callbacks.
  struct Notices {
    std::vector<Placed> placed;
    bool waiting = false;
    // Whether peers must be sent this host's load.
    bool has_load = false;
    std::optional<ReachChange> reach;
  };

  // Offers the call to the balancer, unless less urgent calls are restricted.
  // The caller must hold the lock.
  void OfferToBalancer(const CallOffer& offer,
                       TimePoint now,
                       Decisions& decisions);
  // Converts the balancer's decisions into placements; the caller must hold the
  // lock.
  std::vector<Placed> Resolve(const Decisions& decisions, TimePoint now);
  // Refuses the calls that wait although the service is unreachable; the caller
  // must hold the lock.
  void RefuseUnreachable(TimePoint now, std::vector<Placed>& placed);
  // Returns the next probe that asks whether the service is reachable again.
  // The caller must hold the lock.
  std::optional<ProbeRequest> NextReachProbe(TimePoint now);
  bool RefusesCalls() const {
    return when_unreachable_ == WhenUnreachable::kRefuse &&
           reach_.is_unreachable();
  }
  // Ends an event: carries out the decisions and returns what to notify of. The
  // caller must hold the lock.
  Notices EndEvent(const Decisions& decisions, TimePoint now);
  // Runs the callbacks; the caller must not hold the lock.
  void Notify(const Notices& notices);
  // Logs endpoint state changes; the caller must hold the lock.
  void LogChanges();
  // Records whether an exchange, begun at `began_at`, had a response, and logs
  // a change of the service's reachability; the caller must hold the lock.
  void RecordReach(EndpointIndex endpoint,
                   SendResult result,
                   TimePoint began_at,
                   TimePoint now);
  void LogReach(bool was_unreachable, Duration silent) const;
  void RecordDrain(EndpointIndex endpoint, const EndpointReport& report);
  // Applies signals with `take` and returns the endpoint's rate limit if that
  // has changed it.
  template <typename Take>
  std::optional<StatedRate> TakeSignals(EndpointIndex endpoint,
                                        TimePoint now,
                                        Take take);
  // Must be called without the lock, because `rates_` has its own lock.
  void PublishRateLimit(const std::optional<StatedRate>& stated);
  EndpointTarget TargetOf(EndpointIndex endpoint) const;
  // Returns whether the probe's index still belongs to the probed process.
  bool IsCurrent(const ProbeRequest& probe) const;

  const ConnectionShare share_;
  EndpointRates& rates_;
  std::atomic<std::uint64_t> probes_ = 0;
  std::atomic<std::uint64_t> probe_bytes_ = 0;
  mutable std::mutex mutex_;
  std::int64_t hosts_ = 1;
  ServiceId service_;
  std::string health_path_;
  EndpointReach reach_;
  WhenUnreachable when_unreachable_ = WhenUnreachable::kSend;
  OnReach on_reach_;
  bool reported_reachable_ = true;
  const std::unique_ptr<Balancer> balancer_;
  const std::function<void()> on_waiting_;
  std::unordered_map<CallToken, WaitingEntry> waiting_;
  ServiceOverload overload_;
  std::set<EndpointId> observed_drains_;
};

}  // namespace damasktack

#endif  // PROXY_SERVICE_DISPATCHER_H_
