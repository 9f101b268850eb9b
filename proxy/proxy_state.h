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

#include "fleet/claim_gate.h"
#include "fleet/endpoint_rates.h"
#include "fleet/limit_gate.h"
#include "fleet/request_quarantine.h"
#include "policy/measured_balancer.h"
#include "policy/service_balancer.h"
#include "proxy/call_log.h"
#include "proxy/call_metrics.h"
#include "proxy/endpoint_exchange.h"
#include "proxy/proxy_counters.h"
#include "proxy/routing_table.h"
#include "proxy/service_dispatcher.h"

namespace damasktack {

struct ProxyOptions {
  // Headers and ways of the deployment; not a setting of its own.
  ProtocolNames names;
  SocketAddress listen;
  std::int64_t threads = 2;
  std::int64_t connections = 4096;
  std::int64_t request_header_bytes = 16 << 10;
  std::int64_t request_body_bytes = 1 << 20;
  Duration idle_timeout = std::chrono::seconds(60);
  // From the first byte of a request to its last.
  Duration request_timeout = std::chrono::seconds(10);
  // Connections that one thread keeps to one endpoint; its part of the
  // endpoint's own number counts where that is less.
  std::int64_t idle_per_endpoint = 16;
  // Below the time after which endpoints close an idle connection.
  Duration endpoint_idle = std::chrono::seconds(4);
  ExchangeLimits exchange;
  // How calls are placed: by own calls and reports, or by measuring at the
  // moment of the decision.
  bool measures_before_sending = false;
  BalancerOptions balancer;
  MeasuredBalancerOptions measured;
  Duration tick = std::chrono::milliseconds(2);
};

// What the calls of one daemon share. Safe to use from several threads.
class ProxyState {
 public:
  ProxyState(ProxyOptions options, LimitGate& limits, ClaimGate& claims);

  const ProxyOptions& options() const { return options_; }
  LimitGate& limits() { return limits_; }
  ClaimGate& claims() { return claims_; }
  RequestQuarantine& quarantine() { return quarantine_; }
  EndpointRates& endpoint_rates() { return endpoint_rates_; }
  CallMetrics& metrics() { return metrics_; }
  const CallMetrics& metrics() const { return metrics_; }
  ProxyCounters& counters() { return counters_; }
  CallLog& call_log() { return call_log_; }

  // Puts new documents in force for the calls that arrive from now on.
  void SetRouting(RoutingTablePtr table, std::int64_t hosts, TimePoint now);
  // This host's place among the hosts from now on.
  void SetHostNumber(const HostNumber& seat);
  RoutingTablePtr routing() const;
  // What callers may send: the published limits, or else the settings.
  CallerLimits bounds() const;
  // Null where no such service was ever published.
  std::shared_ptr<ServiceDispatcher> FindDispatcher(
      const ServiceId& service) const;
  std::map<ServiceId, std::shared_ptr<ServiceDispatcher>> dispatchers() const;

  // Runs when calls have begun to wait, on any I/O thread. To be set before
  // the first call.
  void SetOnWaiting(std::function<void()> on_waiting) {
    on_waiting_ = std::move(on_waiting);
  }

  // Asked before a call is admitted: whether what this host believes has been
  // checked since it last slept. Until `expected_by` a call may wait for it;
  // afterwards it is refused at once. To be set before the first call.
  void SetIsCurrent(std::function<bool()> is_current,
                    TimePoint expected_by = TimePoint::min()) {
    is_current_ = std::move(is_current);
    current_by_ = expected_by;
  }
  bool IsCurrent() const { return !is_current_ || is_current_(); }
  TimePoint current_by() const { return current_by_; }

  CallToken NextToken() { return ++last_token_; }

  // While stopping, answers close their connections and no new one is taken.
  void SetStopping() { stopping_ = true; }
  bool stopping() const { return stopping_; }
  std::atomic<std::int64_t>& calls_in_flight() {
    return counters_.calls_in_flight();
  }
  std::int64_t calls_in_flight() const { return counters_.calls_in_flight(); }

  // Everything that the proxy counts, in the Prometheus text format.
  std::string RenderMetrics(TimePoint now) const;

 private:
  std::unique_ptr<Balancer> MakeBalancer() const;
  // Forgets the services that are no longer published; the caller holds the
  // lock.
  void RemoveUnlisted(const RoutingTable& table, TimePoint now);

  const ProxyOptions options_;
  LimitGate& limits_;
  ClaimGate& claims_;
  RequestQuarantine quarantine_;
  EndpointRates endpoint_rates_;
  CallMetrics metrics_;
  ProxyCounters counters_;
  CallLog call_log_;
  mutable std::shared_mutex mutex_;
  RoutingTablePtr routing_ = std::make_shared<RoutingTable>();
  std::map<ServiceId, std::shared_ptr<ServiceDispatcher>> dispatchers_;
  HostNumber seat_;
  std::function<bool()> is_current_;
  TimePoint current_by_ = TimePoint::min();
  std::function<void()> on_waiting_;
  std::atomic<CallToken> last_token_ = 0;
  std::atomic<bool> stopping_ = false;
};

}  // namespace damasktack

#endif  // PROXY_PROXY_STATE_H_
