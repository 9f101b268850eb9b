#ifndef PROXY_PROXY_STATE_H_
#define PROXY_PROXY_STATE_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <utility>

#include "core/memory_budget.h"
#include "fleet/claim_gate.h"
#include "fleet/endpoint_rates.h"
#include "fleet/limit_gate.h"
#include "fleet/overload/overload_view.h"
#include "fleet/relay_directory.h"
#include "fleet/request_quarantine.h"
#include "policy/measured_balancer.h"
#include "policy/service_balancer.h"
#include "proxy/call_log.h"
#include "proxy/call_metrics.h"
#include "proxy/endpoint_exchange.h"
#include "proxy/proxy_counters.h"
#include "proxy/relay_options.h"
#include "proxy/relay_peer_picker.h"
#include "proxy/routing_table.h"
#include "proxy/service_dispatcher.h"
#include "proxy/stop_schedule.h"

namespace damasktack {

// Part of a process's memory that messages may take. The rest is for its code,
// its tables and its connections.
inline constexpr std::int64_t kMessageMemoryPercent = 60;

// Settings of the proxy.
struct ProxyOptions {
  // The deployment's header names and protocol variants; not a setting of its
  // own.
  ProtocolNames names;
  SocketAddress listen;
  std::int64_t threads = 2;
  std::int64_t connections = 4096;
  // Memory that the process may use, in megabytes (10^6 bytes). Messages may
  // take kMessageMemoryPercent of it.
  std::int64_t memory_mb = 1024;
  std::int64_t request_header_bytes = 16 << 10;
  std::int64_t request_body_bytes = 1 << 20;
  Duration idle_timeout = std::chrono::seconds(60);
  // Maximum time from the first to the last byte of a request.
  Duration request_timeout = std::chrono::seconds(10);
  // Maximum connections that one thread keeps to one endpoint; the thread's
  // share of the connections that the endpoint accepts applies if it is
  // smaller.
  std::int64_t idle_per_endpoint = 16;
  // Must be shorter than the time after which endpoints close an idle
  // connection.
  Duration endpoint_idle = std::chrono::seconds(4);
  ExchangeLimits exchange;
  RelayOptions relay;
  // Selects how calls are placed: by probing at decision time (true), or by
  // this host's own calls and endpoints' reports (false).
  bool measures_before_sending = false;
  // A call of an idempotent route may be hedged if the route's timeout is at
  // least this multiple of its latency objective; 0 disables hedging.
  double hedge_timeout_factor = 0;
  HedgeOptions hedge;
  // Whether less urgent calls are refused first while a service that routes of
  // several urgencies share is short of free slots.
  bool urgency_admission = false;
  // Whether calls that can wait are sent to slower endpoints while a service
  // that routes of different objectives share is short of free slots.
  bool slack_placement = false;
  // Refused calls of a route are told to return at different times if the
  // route's timeout is at least this multiple of its latency objective; 0
  // disables this.
  double return_pacing_factor = 0;
  BalancerOptions balancer;
  MeasuredBalancerOptions measured;
  Duration tick = std::chrono::milliseconds(2);
};

// State that all calls of one daemon share. Thread-safe.
class ProxyState {
 public:
  ProxyState(ProxyOptions options, LimitGate& limits, ClaimGate& claims);

  const ProxyOptions& options() const { return options_; }
  LimitGate& limits() { return limits_; }
  // Bounds what the messages of callers, peers and endpoints hold.
  MemoryBudget& memory() { return memory_; }
  const MemoryBudget& memory() const { return memory_; }
  ClaimGate& claims() { return claims_; }
  RequestQuarantine& quarantine() { return quarantine_; }
  EndpointRates& endpoint_rates() { return endpoint_rates_; }
  OverloadView& overload_view() { return overload_view_; }
  CallMetrics& metrics() { return metrics_; }
  const CallMetrics& metrics() const { return metrics_; }
  ProxyCounters& counters() { return counters_; }
  CallLog& call_log() { return call_log_; }
  RelayDirectory& relay_directory() { return relay_directory_; }
  RelayPeerPicker& relay_peers() { return relay_peers_; }

  // Applies new documents to the calls that arrive from now on.
  void SetRouting(RoutingTablePtr table, std::int64_t hosts, TimePoint now);
  // Sets this host's number among the hosts.
  void SetHostNumber(const HostNumber& host_number);
  RoutingTablePtr routing() const;
  // Returns the limits on callers' requests: the published ones, else those
  // from the settings.
  CallerLimits caller_limits() const;
  // Returns null if no such service is published.
  std::shared_ptr<ServiceDispatcher> FindDispatcher(
      const ServiceId& service) const;
  std::map<ServiceId, std::shared_ptr<ServiceDispatcher>> dispatchers() const;

  // Sets a callback that runs on any I/O thread when calls have begun to wait.
  // Must be set before the first call.
  void SetOnWaiting(std::function<void()> on_waiting) {
    on_waiting_ = std::move(on_waiting);
  }

  // Sets a check that runs before each call is admitted: whether this host's
  // documents have been confirmed since the process was last suspended or
  // started. Until `expected_by`, a call may wait for the confirmation; later
  // it is refused at once. Must be set before the first call.
  void SetIsCurrent(std::function<bool()> is_current,
                    TimePoint expected_by = TimePoint::min()) {
    is_current_ = std::move(is_current);
    current_by_ = expected_by;
  }
  bool IsCurrent() const { return !is_current_ || is_current_(); }
  TimePoint current_by() const { return current_by_; }

  CallToken NextToken() { return ++last_token_; }

  // While stopping, answers close their connections and no new connection is
  // accepted.
  void SetStopping() { stopping_ = true; }
  bool stopping() const { return stopping_; }
  // Sets the time at which a stopping host aborts all calls.
  void SetStopEnd(TimePoint end, TimePoint now) {
    stop_began_ = now;
    stop_end_ = end;
  }
  // Returns when SetStopEnd was called.
  TimePoint stop_began() const { return stop_began_; }
  StopSchedule stop_schedule() const { return StopSchedule(stop_end_); }
  std::atomic<std::int64_t>& calls_in_flight() {
    return counters_.calls_in_flight();
  }
  std::int64_t calls_in_flight() const { return counters_.calls_in_flight(); }

  // Counts and logs the answers of an exchange that belong to other requests;
  // `call` is empty for a probe.
  void RecordStrayAnswers(const CallId& call,
                          const EndpointId& endpoint,
                          const ExchangeResult& sent);

  // Returns all metrics of the proxy in the Prometheus text format.
  std::string RenderMetrics(TimePoint now) const;

 private:
  std::unique_ptr<Balancer> MakeBalancer() const;
  std::shared_ptr<ServiceDispatcher> MakeDispatcher();
  // Removes the services that are no longer published; the caller must hold the
  // lock.
  void RemoveUnlisted(const RoutingTable& table, TimePoint now);

  const ProxyOptions options_;
  MemoryBudget memory_;
  LimitGate& limits_;
  ClaimGate& claims_;
  RequestQuarantine quarantine_;
  EndpointRates endpoint_rates_;
  OverloadView overload_view_;
  CallMetrics metrics_;
  ProxyCounters counters_;
  CallLog call_log_;
  RelayDirectory relay_directory_;
  RelayPeerPicker relay_peers_{relay_directory_, options_.relay.regions};
  mutable std::shared_mutex mutex_;
  RoutingTablePtr routing_ = std::make_shared<RoutingTable>();
  std::map<ServiceId, std::shared_ptr<ServiceDispatcher>> dispatchers_;
  HostNumber host_number_;
  std::function<bool()> is_current_;
  TimePoint current_by_ = TimePoint::min();
  std::function<void()> on_waiting_;
  std::atomic<CallToken> last_token_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<TimePoint> stop_began_ = TimePoint::max();
  std::atomic<TimePoint> stop_end_ = TimePoint::max();
};

}  // namespace damasktack

#endif  // PROXY_PROXY_STATE_H_
