#include "proxy/proxy_state.h"

#include <algorithm>
#include <random>
#include <sstream>
#include <utility>

namespace damasktack {

namespace {

std::size_t MessageMemory(const ProxyOptions& options) {
  constexpr std::int64_t kMegabyte = 1'000'000;
  return static_cast<std::size_t>(options.memory_mb * kMegabyte / 100 *
                                  kMessageMemoryPercent);
}

bool IsListed(const RoutingTable& table, const EndpointProcess& process) {
  const auto is_it = [&](const EndpointSpec& it) {
    return it.id == process.id && it.started_at == process.started_at;
  };
  return std::ranges::any_of(table.services(), [&](const ServiceSpec& it) {
    return std::ranges::any_of(it.endpoints, is_it);
  });
}

}  // namespace

ProxyState::ProxyState(ProxyOptions options,
                       LimitGate& limits,
                       ClaimGate& claims)
    : options_(std::move(options)),
      memory_(MessageMemory(options_)),
      limits_(limits),
      claims_(claims) {
  endpoint_rates_.SetOnReceived([this](const StatedRate& stated) {
    for (const auto& [id, dispatcher] : dispatchers()) {
      dispatcher->OnPeerRateLimit(stated);
    }
  });
}

void ProxyState::SetRouting(RoutingTablePtr table,
                            std::int64_t hosts,
                            TimePoint now) {
  endpoint_rates_.ForgetUnlisted(
      [&](const EndpointProcess& it) { return IsListed(*table, it); }, now);
  const std::vector<StatedRate> rates = endpoint_rates_.InForce();
  const std::unique_lock lock(mutex_);
  for (const ServiceSpec& service : table->services()) {
    std::shared_ptr<ServiceDispatcher>& dispatcher = dispatchers_[service.id];
    if (!dispatcher) {
      dispatcher = MakeDispatcher();
    }
    dispatcher->SetService(service, hosts, now);
    // Peers may have reported a rate limit before this host learned of the
    // endpoint.
    for (const StatedRate& it : rates) {
      dispatcher->OnPeerRateLimit(it);
    }
  }
  RemoveUnlisted(*table, now);
  routing_ = std::move(table);
}

void ProxyState::SetHostNumber(const HostNumber& host_number) {
  const std::unique_lock lock(mutex_);
  host_number_ = host_number;
  for (const auto& [id, dispatcher] : dispatchers_) {
    dispatcher->SetHostNumber(host_number);
  }
}

std::unique_ptr<Balancer> ProxyState::MakeBalancer() const {
  if (options_.measures_before_sending) {
    MeasuredBalancerOptions options = options_.measured;
    options.hedge = options_.hedge;
    options.slack_placement = options_.slack_placement;
    options.return_pacing_factor = options_.return_pacing_factor;
    return std::make_unique<MeasuredBalancer>(std::move(options),
                                              std::random_device()());
  }
  BalancerOptions options = options_.balancer;
  options.hedge = options_.hedge;
  options.slack_placement = options_.slack_placement;
  options.return_pacing_factor = options_.return_pacing_factor;
  return std::make_unique<ServiceBalancer>(std::move(options),
                                           std::random_device()());
}

std::shared_ptr<ServiceDispatcher> ProxyState::MakeDispatcher() {
  const ConnectionShare share{options_.threads, options_.idle_per_endpoint};
  auto dispatcher = std::make_shared<ServiceDispatcher>(
      MakeBalancer(), share, endpoint_rates_, [this] {
        if (on_waiting_) {
          on_waiting_();
        }
      });
  dispatcher->SetHostNumber(host_number_);
  if (options_.urgency_admission) {
    dispatcher->SetOverloadView(overload_view_);
  }
  if (options_.relay.enabled()) {
    dispatcher->SetWhenUnreachable(
        WhenUnreachable::kRefuse,
        [this](const ServiceId& service, bool is_reachable) {
          relay_directory_.SetReachable(service, is_reachable);
        });
  }
  return dispatcher;
}

void ProxyState::RemoveUnlisted(const RoutingTable& table, TimePoint now) {
  for (auto it = dispatchers_.begin(); it != dispatchers_.end();) {
    const auto is_listed = [&](const ServiceSpec& service) {
      return service.id == it->first;
    };
    if (std::ranges::any_of(table.services(), is_listed)) {
      ++it;
      continue;
    }
    // Calls that still hold the dispatcher must find no endpoint in it.
    ServiceSpec without_endpoints;
    without_endpoints.id = it->first;
    it->second->SetService(without_endpoints, 1, now);
    relay_directory_.Forget(it->first);
    it = dispatchers_.erase(it);
  }
}

RoutingTablePtr ProxyState::routing() const {
  const std::shared_lock lock(mutex_);
  return routing_;
}

CallerLimits ProxyState::caller_limits() const {
  const RoutingTablePtr table = routing();
  if (table->has_routes()) {
    return table->book()->limits;
  }
  return CallerLimits{options_.request_header_bytes,
                      options_.request_body_bytes, options_.request_timeout,
                      options_.idle_timeout};
}

std::shared_ptr<ServiceDispatcher> ProxyState::FindDispatcher(
    const ServiceId& service) const {
  const std::shared_lock lock(mutex_);
  const auto it = dispatchers_.find(service);
  return it == dispatchers_.end() ? nullptr : it->second;
}

std::map<ServiceId, std::shared_ptr<ServiceDispatcher>>
ProxyState::dispatchers() const {
  const std::shared_lock lock(mutex_);
  return dispatchers_;
}

void ProxyState::RecordStrayAnswers(const CallId& call,
                                    const EndpointId& endpoint,
                                    const ExchangeResult& sent) {
  for (const StrayAnswer& it : sent.strays) {
    counters_.CountStrayAnswer(it.match);
    call_log_.WriteStrayAnswer({.call = call,
                                .endpoint = endpoint,
                                .connection = sent.connection,
                                .match = ToString(it.match),
                                .status = it.status,
                                .names = it.call,
                                .is_refusal = it.is_refusal},
                               Clock::now());
  }
}

std::string ProxyState::RenderMetrics(TimePoint now) const {
  std::ostringstream out;
  out << metrics_.Render() << counters_.Render(stopping_)
      << quarantine_.RenderMetrics()
      << "# TYPE damasktack_message_bytes gauge\n"
      << "damasktack_message_bytes " << memory_.used() << "\n"
      << "# TYPE damasktack_message_bytes_peak gauge\n"
      << "damasktack_message_bytes_peak " << memory_.peak() << "\n"
      << "# TYPE damasktack_message_bytes_limit gauge\n"
      << "damasktack_message_bytes_limit " << memory_.limit() << "\n"
      << "# TYPE damasktack_memory_refusals_total counter\n"
      << "damasktack_memory_refusals_total " << memory_.refusals() << "\n"
      << "# TYPE damasktack_endpoint_rate_limits gauge\n"
      << "damasktack_endpoint_rate_limits " << endpoint_rates_.InForce().size()
      << "\n"
      << "# TYPE damasktack_call_lines_dropped_total counter\n"
      << "damasktack_call_lines_dropped_total " << call_log_.dropped() << "\n"
      << "# TYPE damasktack_probes_total counter\n"
      << "# TYPE damasktack_probe_bytes_total counter\n"
      << "# TYPE damasktack_hedges_withheld_total counter\n"
      << "# TYPE damasktack_calls_waiting gauge\n"
      << "# TYPE damasktack_service_reachable gauge\n"
      << "# TYPE damasktack_capacity_short gauge\n"
      << "# TYPE damasktack_slack_placements_total counter\n"
      << "# TYPE damasktack_slack_refusals_total counter\n"
      << "# TYPE damasktack_returns_paced_total counter\n"
      << "# TYPE damasktack_returns_over_capacity_total counter\n";
  if (options_.urgency_admission) {
    out << "# TYPE damasktack_overload_statements_sent_total counter\n"
        << "damasktack_overload_statements_sent_total " << overload_view_.sent()
        << "\n"
        << "# TYPE damasktack_overload_statements_received_total counter\n"
        << "damasktack_overload_statements_received_total "
        << overload_view_.received() << "\n"
        << "# TYPE damasktack_urgency_short gauge\n"
        << "# TYPE damasktack_urgency_admitted_fraction gauge\n"
        << "# TYPE damasktack_urgency_refused_total counter\n";
  }
  for (const auto& [id, dispatcher] : dispatchers()) {
    const std::string label = "{service=\"" + id.text() + "\"} ";
    const BalancerStatus status = dispatcher->Status(now);
    const ProbeCost cost = dispatcher->probe_cost();
    out << "damasktack_probes_total" << label << cost.probes << "\n"
        << "damasktack_probe_bytes_total" << label << cost.bytes << "\n"
        << "damasktack_hedges_withheld_total" << label << status.hedges_withheld
        << "\n"
        << "damasktack_calls_waiting" << label << status.waiting << "\n"
        << "damasktack_service_reachable" << label << dispatcher->IsReachable()
        << "\n"
        << "damasktack_capacity_short" << label << status.is_capacity_short
        << "\n"
        << "damasktack_slack_placements_total" << label
        << status.slack_placements << "\n"
        << "damasktack_slack_refusals_total" << label << status.slack_refusals
        << "\n"
        << "damasktack_returns_paced_total" << label << status.returns_paced
        << "\n"
        << "damasktack_returns_over_capacity_total" << label
        << status.returns_over_capacity << "\n";
    dispatcher->RenderOverload(out);
  }
  return out.str();
}

}  // namespace damasktack
