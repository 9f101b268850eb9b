#include "bench/decision_simulation.h"

#include <cmath>

namespace damasktack {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Duration kSameZoneLatency = microseconds(200);
constexpr Duration kTick = milliseconds(2);
constexpr Duration kDeadline = milliseconds(1000);
constexpr Duration kWarmUp = std::chrono::seconds(1);
constexpr Duration kSlowdownTime = std::chrono::seconds(2);
constexpr Duration kFastErrorLatency = microseconds(100);
constexpr double kSlowdownFactor = 10;
constexpr std::size_t kEndpointQueue = 64;

// Fraction of the calls and mean service time of each class.
struct ClassMix {
  double fraction;
  Duration mean;
};
constexpr std::array<ClassMix, kUrgencyCount> kClassMix = {{
    {0.2, milliseconds(4)},
    {0.6, milliseconds(4)},
    {0.2, milliseconds(20)},
}};

double MeanSeconds() {
  double sum = 0;
  for (const ClassMix& it : kClassMix) {
    sum += it.fraction * std::chrono::duration<double>(it.mean).count();
  }
  return sum;
}

double Uniform(Random& random) {
  return (static_cast<double>(random() >> 11) + 0.5) / 9007199254740992.0;
}

Duration Exponential(Random& random, Duration mean) {
  const double x = -std::log(Uniform(random));
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(mean.count()) * x));
}

}  // namespace

Duration ClassFigures::Quantile(double quantile) {
  if (latencies.empty()) {
    return Duration::zero();
  }
  const auto n = static_cast<std::ptrdiff_t>(
      quantile * static_cast<double>(latencies.size() - 1));
  std::nth_element(latencies.begin(), latencies.begin() + n, latencies.end());
  return latencies[static_cast<std::size_t>(n)];
}

DecisionSimulation::DecisionSimulation(const SimulationOptions& options)
    : options_(options), random_(options.seed) {
  ServiceSpec service;
  service.id = ServiceId("service");
  service.probes_per_second = options_.probes_per_second;
  for (int n = 0; n < options_.endpoints; ++n) {
    EndpointSpec spec;
    spec.id = EndpointId("e" + std::to_string(n));
    spec.address = SocketAddress{"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
    spec.zone = ZoneId("z" + std::to_string(n % options_.zones));
    spec.slots = options_.slots;
    service.endpoints.push_back(spec);
  }
  servers_.resize(service.endpoints.size());
  for (int n = 0; n < options_.hosts; ++n) {
    EndpointTableOptions table;
    table.zone = ZoneId("z" + std::to_string(n % options_.zones));
    table.zone_distance = options_.zone_distance;
    table.picker = options_.picker;
    hosts_.push_back(Host{EndpointTable(table), {}});
    hosts_.back().table.SetService(service, options_.hosts, ToTime(now_));
    Push({kTick * (n + 1) / options_.hosts,
          0,
          Kind::kTick,
          static_cast<std::uint32_t>(n),
          0,
          0,
          {}});
  }
  Push({Duration::zero(), 0, Kind::kArrival, 0, 0, 0, {}});
}

SimulationFigures DecisionSimulation::Run() {
  while (!events_.empty() && events_.top().at < options_.length) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  figures_.to_faulty = sends_in_fault_ == 0
                           ? 0
                           : static_cast<double>(faulty_sends_in_fault_) /
                                 static_cast<double>(sends_in_fault_);
  return std::move(figures_);
}

void DecisionSimulation::Push(Event event) {
  event.order = next_event_order_++;
  events_.push(event);
}

void DecisionSimulation::Handle(const Event& event) {
  switch (event.kind) {
    case Kind::kArrival:
      return OnArrival();
    case Kind::kRequestArrived:
      return OnRequestArrived(event);
    case Kind::kServiceDone:
      return OnServiceDone(event);
    case Kind::kAnswer:
      return OnAnswer(event);
    case Kind::kTick:
      return OnTick(event);
    case Kind::kProbe:
      return Push({now_ + Distance(event.host, event.endpoint), 0,
                   Kind::kReportArrived, event.host, event.endpoint, 0,
                   ReportOf(event.endpoint)});
    case Kind::kReportArrived: {
      EndpointReport report = event.report;
      report.received_at = ToTime(now_);
      hosts_[event.host].table.OnReport(event.endpoint, report, ToTime(now_));
      return DispatchWaiting(event.host);
    }
  }
}

void DecisionSimulation::OnArrival() {
  const double rate =
      options_.load * options_.endpoints * options_.slots / MeanSeconds();
  const auto gap = std::chrono::duration<double>(1 / rate);
  Push({now_ + Exponential(random_, std::chrono::duration_cast<Duration>(gap)),
        0,
        Kind::kArrival,
        0,
        0,
        0,
        {}});
  std::uint32_t token = static_cast<std::uint32_t>(calls_.size());
  if (free_calls_.empty()) {
    calls_.emplace_back();
  } else {
    token = free_calls_.back();
    free_calls_.pop_back();
  }
  Call& call = calls_[token];
  call = Call();
  call.host = UniformBelow(random_, static_cast<std::uint32_t>(options_.hosts));
  const double draw = Uniform(random_);
  call.urgency = draw < kClassMix[0].fraction ? Urgency::kUrgent
                 : draw < kClassMix[0].fraction + kClassMix[1].fraction
                     ? Urgency::kNormal
                     : Urgency::kBulk;
  const auto kind = static_cast<std::size_t>(call.urgency);
  call.service = Exponential(random_, kClassMix[kind].mean);
  call.arrived = now_;
  hosts_[call.host].waiting[kind].push_back(token);
  for (int n = 0; n < options_.probes_per_call; ++n) {
    SendProbe(
        call.host,
        UniformBelow(random_, static_cast<std::uint32_t>(options_.endpoints)));
  }
  DispatchWaiting(call.host);
}

void DecisionSimulation::SendProbe(std::uint32_t host, std::uint32_t endpoint) {
  ++figures_.probes;
  Push({now_ + Distance(host, endpoint),
        0,
        Kind::kProbe,
        host,
        endpoint,
        0,
        {}});
}

void DecisionSimulation::DispatchWaiting(std::uint32_t host) {
  Host& it = hosts_[host];
  for (std::size_t kind = 0; kind < kUrgencyCount; ++kind) {
    std::deque<std::uint32_t>& waiting = it.waiting[kind];
    while (!waiting.empty()) {
      const std::uint32_t token = waiting.front();
      if (now_ - calls_[token].arrived > kDeadline) {
        figures_.classes[kind].refused += IsMeasured(calls_[token]) ? 1 : 0;
        figures_.classes[kind].calls += IsMeasured(calls_[token]) ? 1 : 0;
        free_calls_.push_back(token);
        waiting.pop_front();
        continue;
      }
      const PickRequest request{
          static_cast<Urgency>(kind), options_.max_load[kind], {}};
      const auto picked = it.table.Pick(request, ToTime(now_), random_);
      if (!picked) {
        break;
      }
      waiting.pop_front();
      Send(host, token, *picked);
    }
  }
}

void DecisionSimulation::Send(std::uint32_t host,
                              std::uint32_t token,
                              EndpointIndex endpoint) {
  Call& call = calls_[token];
  call.sent = now_;
  call.endpoint = endpoint;
  hosts_[host].table.OnSend(endpoint, ToTime(now_));
  ++figures_.sends;
  if (IsFaultActive()) {
    ++sends_in_fault_;
    faulty_sends_in_fault_ += endpoint == 0 ? 1 : 0;
    const bool late = now_ > options_.length * 2 / 5 + milliseconds(500);
    figures_.late_to_faulty += endpoint == 0 && late ? 1 : 0;
  }
  Push({now_ + Distance(host, endpoint),
        0,
        Kind::kRequestArrived,
        host,
        endpoint,
        token,
        {}});
}

void DecisionSimulation::OnRequestArrived(const Event& event) {
  Server& server = servers_[event.endpoint];
  if (IsFaultActive(SimulatedFault::kFastErrors, event.endpoint)) {
    return SendResponse(event.call, SendResult::kFailed, kFastErrorLatency);
  }
  // A draining endpoint finishes its accepted calls and sheds new ones.
  if (IsFaultActive(SimulatedFault::kDrain, event.endpoint) ||
      server.queue.size() >= kEndpointQueue) {
    return SendResponse(event.call, SendResult::kShed, kFastErrorLatency);
  }
  if (server.busy < options_.slots) {
    ++server.busy;
    return StartService(event.endpoint, event.call);
  }
  server.queue.push_back(event.call);
}

void DecisionSimulation::StartService(std::uint32_t server,
                                      std::uint32_t token) {
  Duration time = calls_[token].service;
  if (IsFaultActive(SimulatedFault::kSlow, server)) {
    time = std::chrono::duration_cast<Duration>(time * kSlowdownFactor);
  }
  Push({now_ + time, 0, Kind::kServiceDone, 0, server, token, {}});
}

void DecisionSimulation::OnServiceDone(const Event& event) {
  Server& server = servers_[event.endpoint];
  --server.busy;
  if (!server.queue.empty()) {
    ++server.busy;
    StartService(event.endpoint, server.queue.front());
    server.queue.pop_front();
  }
  SendResponse(event.call, SendResult::kAnswered, Duration::zero());
}

void DecisionSimulation::SendResponse(std::uint32_t token,
                                      SendResult result,
                                      Duration after) {
  Call& call = calls_[token];
  call.result = result;
  Push({now_ + after + Distance(call.host, call.endpoint), 0, Kind::kAnswer,
        call.host, call.endpoint, token, ReportOf(call.endpoint)});
}

EndpointReport DecisionSimulation::ReportOf(std::uint32_t endpoint) {
  Server& server = servers_[endpoint];
  if (server.reported_at < Duration::zero() ||
      now_ - server.reported_at >= options_.report_period) {
    server.report.in_flight = server.busy;
    server.report.queued = static_cast<std::int32_t>(server.queue.size());
    server.report.slots = options_.slots;
    server.reported_at = now_;
  }
  EndpointReport report = server.report;
  if (IsFaultActive(SimulatedFault::kFrozenReport, endpoint)) {
    report.in_flight = 0;
    report.queued = 0;
  }
  if (IsFaultActive(SimulatedFault::kDrain, endpoint)) {
    report.mode = EndpointMode::kDraining;
  }
  return report;
}

void DecisionSimulation::OnAnswer(const Event& event) {
  const Call call = calls_[event.call];
  free_calls_.push_back(event.call);
  EndpointTable& table = hosts_[event.host].table;
  table.OnEnd(event.endpoint, call.result, now_ - call.sent, ToTime(now_));
  EndpointReport report = event.report;
  report.received_at = ToTime(now_);
  table.OnReport(event.endpoint, report, ToTime(now_));
  if (IsMeasured(call)) {
    ClassFigures& it = figures_.classes[static_cast<std::size_t>(call.urgency)];
    ++it.calls;
    if (call.result == SendResult::kAnswered) {
      it.latencies.push_back(now_ - call.arrived);
    } else if (call.result == SendResult::kShed) {
      ++it.refused;
    } else {
      ++it.failed;
    }
  }
  DispatchWaiting(event.host);
}

void DecisionSimulation::OnTick(const Event& event) {
  Push({now_ + kTick, 0, Kind::kTick, event.host, 0, 0, {}});
  const auto probe = hosts_[event.host].table.NextProbe(ToTime(now_));
  if (probe) {
    SendProbe(event.host, *probe);
  }
  DispatchWaiting(event.host);
}

Duration DecisionSimulation::Distance(std::uint32_t host,
                                      std::uint32_t server) const {
  const auto zones = static_cast<std::uint32_t>(options_.zones);
  return kSameZoneLatency + (host % zones == server % zones
                                 ? Duration::zero()
                                 : options_.zone_distance);
}

bool DecisionSimulation::IsFaultActive() const {
  const Duration start = options_.length * 2 / 5;
  const Duration end = options_.fault == SimulatedFault::kSlow
                           ? start + kSlowdownTime
                           : options_.length * 3 / 5;
  return options_.fault != SimulatedFault::kNone && now_ >= start && now_ < end;
}

bool DecisionSimulation::IsFaultActive(SimulatedFault fault,
                                       std::uint32_t server) const {
  return options_.fault == fault && server == 0 && IsFaultActive();
}

bool DecisionSimulation::IsMeasured(const Call& call) const {
  return call.arrived >= kWarmUp;
}

}  // namespace damasktack
