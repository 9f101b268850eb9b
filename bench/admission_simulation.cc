#include "bench/admission_simulation.h"

#include <algorithm>
#include <cmath>

namespace damasktack {

namespace {

constexpr Duration kSameZoneLatency = std::chrono::microseconds(200);
constexpr Duration kTick = std::chrono::milliseconds(2);
constexpr Duration kWarmUp = std::chrono::seconds(3);
constexpr std::size_t kEndpointQueue = 64;

double Uniform(Random& random) {
  return (static_cast<double>(random() >> 11) + 0.5) / 9007199254740992.0;
}

Duration Exponential(Random& random, double mean_seconds) {
  const std::chrono::duration<double> drawn(-std::log(Uniform(random)) *
                                            mean_seconds);
  return std::chrono::duration_cast<Duration>(drawn);
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

ServiceSpec ServiceOf(const AdmissionSetup& setup) {
  ServiceSpec service;
  service.id = ServiceId("dispatch");
  service.probes_per_second = setup.probes_per_second;
  for (int n = 0; n < setup.endpoints; ++n) {
    EndpointSpec spec;
    spec.id = EndpointId("e" + std::to_string(n));
    spec.address = SocketAddress{"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
    spec.zone = ZoneId("z" + std::to_string(n % setup.zones));
    spec.slots = setup.slots;
    service.endpoints.push_back(spec);
  }
  return service;
}

}  // namespace

Duration SourceFigures::Quantile(double quantile) {
  if (latencies.empty()) {
    return Duration::zero();
  }
  const auto n = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(latencies.size() - 1));
  std::nth_element(latencies.begin(), latencies.begin() + n, latencies.end());
  return latencies[static_cast<std::size_t>(n)];
}

AdmissionSimulation::AdmissionSimulation(const AdmissionSetup& setup)
    : setup_(setup), random_(setup.seed) {
  const ServiceSpec service = ServiceOf(setup_);
  servers_.resize(service.endpoints.size());
  figures_.resize(setup_.sources.size());
  for (int n = 0; n < setup_.hosts; ++n) {
    BalancerOptions options = setup_.balancer;
    options.table.zone = ZoneId("z" + std::to_string(n % setup_.zones));
    options.table.zone_distance = setup_.zone_distance;
    hosts_.emplace_back(options, random_());
    hosts_.back().SetService(service, setup_.hosts, ToTime(now_));
    Push({.at = kTick * (n + 1) / setup_.hosts,
          .kind = Kind::kTick,
          .host = static_cast<std::size_t>(n)});
  }
  for (std::size_t n = 0; n < setup_.sources.size(); ++n) {
    Push({.kind = Kind::kArrival, .call = n});
  }
}

std::vector<SourceFigures> AdmissionSimulation::Run() {
  while (!events_.empty() && events_.top().at < setup_.length) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  return std::move(figures_);
}

void AdmissionSimulation::Push(Event event) {
  event.order = next_event_order_++;
  events_.push(event);
}

void AdmissionSimulation::Handle(const Event& event) {
  switch (event.kind) {
    case Kind::kArrival:
      return OnArrival(event.call);
    case Kind::kRequestArrived:
      return OnRequestArrived(event);
    case Kind::kServiceDone:
      return OnServiceDone(event);
    case Kind::kAnswer:
      return OnAnswer(event);
    case Kind::kTick:
      return OnTick(event.host);
    case Kind::kProbe:
      return Push({.at = now_ + Distance(event.host, event.endpoint),
                   .kind = Kind::kReportArrived,
                   .host = event.host,
                   .endpoint = event.endpoint,
                   .report = ReportOf(event.endpoint)});
    case Kind::kReportArrived: {
      EndpointReport report = event.report;
      report.received_at = ToTime(now_);
      hosts_[event.host].Report(static_cast<EndpointIndex>(event.endpoint),
                                report, ToTime(now_), decisions_);
      return ApplyDecisions(event.host);
    }
  }
}

SourceFigures* AdmissionSimulation::FiguresOf(const Call& call) {
  // Calls that can't end before the end of the run would be counted as offered
  // but not answered, so they are left out.
  const Duration last = setup_.length - setup_.sources[call.source].deadline;
  const bool measured = call.arrived >= kWarmUp && call.arrived < last;
  return measured ? &figures_[call.source] : nullptr;
}

void AdmissionSimulation::OnArrival(std::size_t source) {
  const TrafficSource& traffic = setup_.sources[source];
  const double rate = traffic.load * setup_.endpoints * setup_.slots /
                      Seconds(traffic.mean_service_time);
  Push({.at = now_ + Exponential(random_, 1 / rate),
        .kind = Kind::kArrival,
        .call = source});
  Call call;
  call.source = source;
  call.host = UniformBelow(random_, static_cast<std::uint32_t>(setup_.hosts));
  call.arrived = now_;
  call.service = Exponential(random_, Seconds(traffic.mean_service_time));
  call.offer.token = calls_.size();
  call.offer.customer = CustomerId(traffic.customer);
  call.offer.share = traffic.share;
  call.offer.urgency = traffic.urgency;
  call.offer.arrival = ToTime(now_);
  call.offer.deadline = ToTime(now_ + traffic.deadline);
  calls_.push_back(call);
  if (SourceFigures* figures = FiguresOf(call)) {
    ++figures->offered;
  }
  hosts_[call.host].Offer(call.offer, ToTime(now_), decisions_);
  ApplyDecisions(call.host);
}

void AdmissionSimulation::ApplyDecisions(std::size_t host) {
  for (const Dispatch& it : decisions_.dispatches) {
    Call& call = calls_[it.token];
    call.endpoint = it.endpoint;
    call.sent = now_;
    ++call.sends;
    Push({.at = now_ + Distance(host, it.endpoint),
          .kind = Kind::kRequestArrived,
          .host = host,
          .endpoint = it.endpoint,
          .call = it.token});
  }
  for (const Rejection& it : decisions_.rejections) {
    if (SourceFigures* figures = FiguresOf(calls_[it.token])) {
      ++figures->refused;
    }
  }
  decisions_.clear();
}

void AdmissionSimulation::OnRequestArrived(const Event& event) {
  Server& server = servers_[event.endpoint];
  if (server.busy < setup_.slots) {
    return StartService(event.endpoint, event.call);
  }
  if (server.queue.size() >= kEndpointQueue) {
    return SendResponse(event.endpoint, event.call, SendResult::kShed);
  }
  server.queue.push_back(event.call);
}

void AdmissionSimulation::StartService(std::size_t server, std::size_t call) {
  ++servers_[server].busy;
  Push({.at = now_ + calls_[call].service,
        .kind = Kind::kServiceDone,
        .endpoint = server,
        .call = call});
}

void AdmissionSimulation::OnServiceDone(const Event& event) {
  Server& server = servers_[event.endpoint];
  --server.busy;
  if (!server.queue.empty()) {
    const std::size_t next = server.queue.front();
    server.queue.pop_front();
    StartService(event.endpoint, next);
  }
  SendResponse(event.endpoint, event.call, SendResult::kAnswered);
}

void AdmissionSimulation::SendResponse(std::size_t server,
                                       std::size_t call,
                                       SendResult result) {
  Call& it = calls_[call];
  it.result = result;
  Push({.at = now_ + Distance(it.host, server),
        .kind = Kind::kAnswer,
        .host = it.host,
        .endpoint = server,
        .call = call,
        .report = ReportOf(server)});
}

void AdmissionSimulation::OnAnswer(const Event& event) {
  const Call& call = calls_[event.call];
  SendEnd end;
  end.token = event.call;
  end.endpoint = static_cast<EndpointIndex>(event.endpoint);
  end.result = call.result;
  end.took = now_ - call.sent;
  end.report = event.report;
  end.report->received_at = ToTime(now_);
  end.sends = call.sends;
  const AfterSend after =
      hosts_[event.host].Finish(call.offer, end, ToTime(now_), decisions_);
  SourceFigures* figures = FiguresOf(call);
  if (figures != nullptr && call.result == SendResult::kAnswered) {
    ++figures->answered;
    figures->slot_time += call.service;
    figures->latencies.push_back(now_ - call.arrived);
  } else if (figures != nullptr && after == AfterSend::kDone) {
    ++figures->failed;
  }
  ApplyDecisions(event.host);
}

void AdmissionSimulation::OnTick(std::size_t host) {
  Push({.at = now_ + kTick, .kind = Kind::kTick, .host = host});
  hosts_[host].Tick(ToTime(now_), decisions_);
  ApplyDecisions(host);
  while (const auto endpoint = hosts_[host].NextProbe(ToTime(now_))) {
    Push({.at = now_ + Distance(host, *endpoint),
          .kind = Kind::kProbe,
          .host = host,
          .endpoint = *endpoint});
  }
}

EndpointReport AdmissionSimulation::ReportOf(std::size_t server) const {
  EndpointReport report;
  report.in_flight = servers_[server].busy;
  report.queued = static_cast<std::int32_t>(servers_[server].queue.size());
  report.slots = setup_.slots;
  return report;
}

Duration AdmissionSimulation::Distance(std::size_t host,
                                       std::size_t server) const {
  const auto zones = static_cast<std::size_t>(setup_.zones);
  return host % zones == server % zones ? kSameZoneLatency
                                        : setup_.zone_distance;
}

}  // namespace damasktack
