#include "standin/load_emulator.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "policy/scaled_time.h"

namespace damasktack {

namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kTick = std::chrono::milliseconds(2);
constexpr double kLateWeight = 0.1;
constexpr Duration kUndrainSpread = std::chrono::milliseconds(300);
// Callers honour a retry delay up to the remaining time divided by this.
constexpr int kRetryAfterDivisor = 3;

double Uniform(Random& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

EndpointIndex ServerOf(const Balancer& balancer, EndpointIndex index) {
  return static_cast<EndpointIndex>(
      std::stoul(balancer.endpoint(index).id.text()));
}

}  // namespace

double EmulatedFigures::WeightedOnTimeShare() const {
  return (static_cast<double>(on_time) +
          kLateWeight * static_cast<double>(late)) /
         static_cast<double>(std::max<std::uint64_t>(calls, 1));
}

double EmulatedFigures::Served() const {
  return static_cast<double>(on_time + late) /
         static_cast<double>(std::max<std::uint64_t>(calls, 1));
}

LoadEmulator::LoadEmulator(const EmulatedService& service,
                           const EmulatedLoad& load,
                           const BalancerFactory& factory,
                           std::uint64_t seed)
    : service_(service),
      load_(load),
      seed_(seed),
      believed_hosts_(load.believed_hosts > 0 ? load.believed_hosts
                                              : load.hosts),
      random_(seed),
      hosts_(static_cast<std::size_t>(load.hosts)),
      servers_(static_cast<std::size_t>(service.endpoints)),
      now_(kStart) {
  for (std::size_t n = 0; n < servers_.size(); ++n) {
    servers_[n].zone = static_cast<int>(n) % service_.zones;
  }
  for (std::size_t n = 0; n < hosts_.size(); ++n) {
    hosts_[n].zone = static_cast<int>(n) % service_.zones;
    hosts_[n].balancer = factory(static_cast<int>(n), seed * 1000 + n);
    if (hosts_[n].balancer) {
      if (load.have_host_numbers) {
        hosts_[n].balancer->SetHostNumber(HostNumberOf(n));
      }
      hosts_[n].balancer->SetService(
          MakeSpec(service_.cold_from > Duration::zero()), believed_hosts_,
          now_);
    }
  }
}

HostNumber LoadEmulator::HostNumberOf(std::size_t host) const {
  const auto number = static_cast<std::int64_t>(host);
  return {number % believed_hosts_, believed_hosts_};
}

ServiceSpec LoadEmulator::MakeSpec(bool is_drained) const {
  ServiceSpec spec;
  spec.id = ServiceId("emulated");
  spec.cold_time = service_.cold_for;
  spec.cold_rate = service_.cold_rate;
  for (std::size_t n = 0; n < servers_.size(); ++n) {
    EndpointSpec endpoint;
    endpoint.id = EndpointId(std::to_string(n));
    endpoint.address = {"10.0.0.1", static_cast<std::uint16_t>(n + 1)};
    endpoint.zone = ZoneId(std::to_string(servers_[n].zone));
    endpoint.slots = service_.slots;
    endpoint.zone_drained = is_drained && IsInColdGroup(n);
    if (service_.cold_from == Duration::zero() && IsInColdGroup(n)) {
      endpoint.cold_until = ColdUntil();
    }
    spec.endpoints.push_back(endpoint);
  }
  return spec;
}

void LoadEmulator::Schedule(TimePoint at, std::function<void()> action) {
  events_.push({at, ++next_sequence_, std::move(action)});
}

void LoadEmulator::ScheduleArrivals() {
  std::normal_distribution<double> work(
      -service_.work_spread * service_.work_spread / 2, service_.work_spread);
  const TimePoint end = kStart + load_.length;
  for (TimePoint at = kStart; at < end;) {
    const bool is_middle =
        at > kStart + load_.length / 3 && at < kStart + load_.length * 2 / 3;
    const double rate =
        load_.calls_per_second * (is_middle ? load_.middle_factor : 1);
    at +=
        Scaled(std::chrono::seconds(1), -std::log1p(-Uniform(random_)) / rate);
    auto call = std::make_shared<Call>();
    call->first_arrival = at;
    call->last_deadline = at + load_.deadline;
    call->retries_left = load_.caller_retries;
    call->work = std::exp(work(random_));
    if (load_.leaving_part > 0 && Uniform(random_) < load_.leaving_part) {
      call->disconnects_at = at + load_.leave_after;
      Schedule(*call->disconnects_at,
               [this, call] { OnCallerDisconnected(call); });
    }
    ++figures_.calls;
    Schedule(at, [this, call] { OnArrival(call); });
  }
}

EmulatedFigures LoadEmulator::Run() {
  ScheduleArrivals();
  ScheduleUndrain();
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.action();
  }
  return figures_;
}

void LoadEmulator::OnArrival(const std::shared_ptr<Call>& call) {
  if (call->disconnects_at && now_ >= *call->disconnects_at) {
    ++figures_.left;
    return;
  }
  call->host = static_cast<int>(
      UniformBelow(random_, static_cast<std::uint32_t>(hosts_.size())));
  CallOffer& offer = call->offer;
  offer.token = ++next_token_;
  offer.customer = CustomerId("emulated");
  offer.idempotent = true;
  offer.retry_percent = 100;
  offer.arrival = now_;
  offer.asked = call->last_deadline - now_;
  offer.deadline = call->last_deadline;
  offer.on_time_until = std::min(now_ + load_.objective, offer.deadline);
  call->sends = 0;
  calls_[offer.token] = call;
  Host& host = hosts_[static_cast<std::size_t>(call->host)];
  if (!host.balancer) {
    SendByOracle(call);
    return;
  }
  Decisions decisions;
  host.balancer->Offer(offer, now_, decisions);
  ApplyDecisions(static_cast<std::size_t>(call->host), decisions);
}

void LoadEmulator::SendByOracle(const std::shared_ptr<Call>& call) {
  std::size_t best = 0;
  for (std::size_t n = 1; n < servers_.size(); ++n) {
    if (OracleFinish(*call, n) < OracleFinish(*call, best)) {
      best = n;
    }
  }
  if (now_ + OracleFinish(*call, best) > call->offer.on_time_until) {
    RetryOrRefuse(call, std::chrono::milliseconds(15));
    return;
  }
  SendCall(call, best);
}

Duration LoadEmulator::OracleFinish(const Call& call,
                                    std::size_t server) const {
  const Server& it = servers_[server];
  const auto queued = static_cast<int>(it.waiting.size());
  const int calls_at_server = it.running + it.in_transit + queued + 1;
  const double utilization =
      static_cast<double>(calls_at_server) / service_.slots;
  const double slow = SlowFactor(server) *
                      (utilization > service_.knee ? service_.knee_factor : 1);
  const double behind = std::max(0, calls_at_server - service_.slots);
  const double work = slow * (call.work + behind / service_.slots);
  const Host& host = hosts_[static_cast<std::size_t>(call.host)];
  return 2 * OneWayDelay(host, it) + Scaled(service_.work, work);
}

void LoadEmulator::SendCall(const std::shared_ptr<Call>& call,
                            std::size_t server) {
  const Host& host = hosts_[static_cast<std::size_t>(call->host)];
  Server& it = servers_[server];
  ++figures_.sends;
  ++it.in_transit;
  figures_.other_zone_sends += host.zone != it.zone ? 1 : 0;
  call->sent_at = now_;
  ++call->sends;
  const Send send{call, server, ++call->send};
  Schedule(now_ + OneWayDelay(host, it) + RandomLateness(),
           [this, send] { OnServerArrival(send); });
  Schedule(call->offer.deadline, [this, send] {
    if (send.call->send == send.number) {
      FinishSend(send.call, SendResult::kTimedOut, std::nullopt);
    }
  });
}

void LoadEmulator::OnServerArrival(const Send& send) {
  Server& it = servers_[send.server];
  --it.in_transit;
  CountColdArrival(send.server);
  if (send.call->is_cancelled) {
    return;
  }
  const bool is_full = it.running >= service_.slots;
  const bool is_shed =
      (is_full && static_cast<int>(it.waiting.size()) >= service_.queue) ||
      (service_.shed_part > 0 && Uniform(random_) < service_.shed_part);
  if (is_shed) {
    ++figures_.sheds;
    SendResponse(send, SendResult::kShed);
  } else if (is_full) {
    it.waiting.push_back(send);
  } else {
    StartCall(send);
  }
}

void LoadEmulator::StartCall(const Send& send) {
  Server& it = servers_[send.server];
  ++it.running;
  send.call->is_running = true;
  const double utilization = static_cast<double>(it.running) / service_.slots;
  const double slow = SlowFactor(send.server) *
                      (utilization > service_.knee ? service_.knee_factor : 1);
  Schedule(now_ + Scaled(service_.work, send.call->work * slow), [this, send] {
    if (send.call->is_cancelled) {
      return;
    }
    send.call->is_running = false;
    FreeSlot(send.server);
    SendResponse(send, SendResult::kAnswered);
  });
}

void LoadEmulator::FreeSlot(std::size_t server) {
  Server& it = servers_[server];
  --it.running;
  if (!it.waiting.empty()) {
    const Send next = it.waiting.front();
    it.waiting.pop_front();
    StartCall(next);
  }
}

void LoadEmulator::OnCallerDisconnected(const std::shared_ptr<Call>& call) {
  const auto it = calls_.find(call->offer.token);
  if (it == calls_.end() || it->second != call) {
    return;
  }
  ++figures_.left;
  const auto host = static_cast<std::size_t>(call->host);
  if (hosts_[host].balancer &&
      hosts_[host].balancer->Withdraw(call->offer.token, now_)) {
    calls_.erase(call->offer.token);
    return;
  }
  const std::size_t server =
      hosts_[host].balancer ? ServerOf(*hosts_[host].balancer, call->endpoint)
                            : call->endpoint;
  const Send send{call, server, call->send};
  Schedule(now_ + OneWayDelay(hosts_[host], servers_[server]),
           [this, send] { CancelAtServer(send); });
  FinishSend(call, SendResult::kCancelled, std::nullopt);
}

void LoadEmulator::CancelAtServer(const Send& send) {
  Server& it = servers_[send.server];
  send.call->is_cancelled = true;
  const bool was_waiting = std::erase(it.waiting, send) > 0;
  if (!was_waiting && send.call->is_running) {
    FreeSlot(send.server);
  }
}

void LoadEmulator::SendResponse(const Send& send, SendResult result) {
  const Host& host = hosts_[static_cast<std::size_t>(send.call->host)];
  const EndpointReport report = ReportOf(send.server);
  Schedule(now_ + OneWayDelay(host, servers_[send.server]),
           [this, send, result, report] {
             if (send.call->send == send.number) {
               EndpointReport read = report;
               read.asked_before = now_ - send.call->sent_at;
               FinishSend(send.call, result, read);
             }
           });
}

void LoadEmulator::FinishSend(const std::shared_ptr<Call>& call,
                              SendResult result,
                              std::optional<EndpointReport> report) {
  ++call->send;
  const auto index = static_cast<std::size_t>(call->host);
  Balancer* balancer = hosts_[index].balancer.get();
  const SendEnd end{.token = call->offer.token,
                    .endpoint = call->endpoint,
                    .result = result,
                    .took = now_ - call->sent_at,
                    .report = report,
                    .sends = call->sends};
  AfterSend after = AfterSend::kDone;
  Decisions decisions;
  if (balancer != nullptr) {
    after = balancer->Finish(call->offer, end, now_, decisions);
  }
  if (after == AfterSend::kDone) {
    calls_.erase(call->offer.token);
    if (result == SendResult::kAnswered) {
      CountAnswer(*call);
    } else if (result == SendResult::kShed) {
      RetryOrRefuse(call, balancer != nullptr
                              ? balancer->RetryAfterSend(call->offer, end, now_)
                              : Duration::zero());
    } else if (result != SendResult::kCancelled) {
      ++figures_.failed;
    }
  }
  if (balancer != nullptr) {
    ApplyDecisions(index, decisions);
  }
}

void LoadEmulator::CountAnswer(const Call& call) {
  const bool is_on_time = now_ <= call.first_arrival + load_.objective;
  ++(is_on_time ? figures_.on_time : figures_.late);
}

void LoadEmulator::RetryOrRefuse(const std::shared_ptr<Call>& call,
                                 Duration retry_after) {
  calls_.erase(call->offer.token);
  const Duration left = call->last_deadline - now_;
  const Duration wait =
      std::min<Duration>(retry_after, left / kRetryAfterDivisor);
  const TimePoint back = now_ + wait + 2 * load_.caller_delay;
  if (call->retries_left == 0 || back >= call->last_deadline) {
    ++figures_.refused;
    return;
  }
  --call->retries_left;
  Schedule(back, [this, call] { OnArrival(call); });
}

void LoadEmulator::ApplyDecisions(std::size_t host, Decisions& decisions) {
  const Balancer& balancer = *hosts_[host].balancer;
  for (const Dispatch& it : std::exchange(decisions.dispatches, {})) {
    const std::shared_ptr<Call>& call = calls_.at(it.token);
    call->endpoint = it.endpoint;
    SendCall(call, ServerOf(balancer, it.endpoint));
  }
  for (const Rejection& it : std::exchange(decisions.rejections, {})) {
    RetryOrRefuse(std::shared_ptr<Call>(calls_.at(it.token)), it.retry_after);
  }
  while (const auto probe = hosts_[host].balancer->NextProbe(now_)) {
    SendProbe(host, *probe);
  }
  ScheduleTick(host);
}

void LoadEmulator::SendProbe(std::size_t host, EndpointIndex endpoint) {
  ++figures_.probes;
  const std::size_t server = ServerOf(*hosts_[host].balancer, endpoint);
  const Duration delay = OneWayDelay(hosts_[host], servers_[server]);
  const TimePoint probed_at = now_;
  Schedule(now_ + delay, [this, host, endpoint, server, delay, probed_at] {
    EndpointReport report = ReportOf(server);
    report.cold_for = IsCold(server) ? ColdUntil() - now_ : Duration::zero();
    Schedule(now_ + delay + RandomLateness(),
             [this, host, endpoint, report, probed_at] {
               EndpointReport read = report;
               read.asked_before = now_ - probed_at;
               Decisions decisions;
               hosts_[host].balancer->Report(endpoint, read, now_, decisions);
               ApplyDecisions(host, decisions);
             });
  });
}

void LoadEmulator::ScheduleTick(std::size_t host) {
  Host& it = hosts_[host];
  if (it.has_tick || it.balancer->waiting() == 0) {
    return;
  }
  it.has_tick = true;
  Schedule(now_ + kTick, [this, host] {
    hosts_[host].has_tick = false;
    Decisions decisions;
    hosts_[host].balancer->Tick(now_, decisions);
    ApplyDecisions(host, decisions);
  });
}

// Time is divided into periods, in each of which a server is slow or not. The
// periods of different servers are offset, and depend only on the seed.
double LoadEmulator::SlowFactor(std::size_t server) const {
  const Duration shift =
      service_.slow_for * static_cast<int>(server) / service_.endpoints;
  const auto period =
      static_cast<std::uint64_t>((now_ - kStart + shift) / service_.slow_for);
  Random draw(seed_ * 7919 + server * 104729 + period * 1299709);
  const double slow =
      Uniform(draw) < service_.slow_part ? service_.slow_factor : 1;
  return IsCold(server) ? slow * service_.cold_factor : slow;
}

TimePoint LoadEmulator::ColdFrom() const {
  return kStart + service_.cold_from;
}

bool LoadEmulator::IsInColdGroup(std::size_t server) const {
  return static_cast<double>(server) <
         service_.cold_part * static_cast<double>(servers_.size());
}

bool LoadEmulator::IsCold(std::size_t server) const {
  return IsInColdGroup(server) && now_ >= ColdFrom() && now_ < ColdUntil();
}

// Schedules the end of the drain. Hosts learn of it one after another, spread
// over kUndrainSpread.
void LoadEmulator::ScheduleUndrain() {
  if (service_.cold_from == Duration::zero()) {
    return;
  }
  for (std::size_t n = 0; n < hosts_.size(); ++n) {
    if (!hosts_[n].balancer) {
      continue;
    }
    const Duration after = kUndrainSpread * static_cast<int>(n) / load_.hosts;
    Schedule(ColdFrom() + after, [this, n] {
      hosts_[n].balancer->SetService(MakeSpec(false), believed_hosts_, now_);
    });
  }
}

void LoadEmulator::CountColdArrival(std::size_t server) {
  if (!IsCold(server)) {
    return;
  }
  std::deque<TimePoint>& cold_arrivals = servers_[server].cold_arrivals;
  cold_arrivals.push_back(now_);
  while (now_ - cold_arrivals.front() >= std::chrono::seconds(1)) {
    cold_arrivals.pop_front();
  }
  ++figures_.cold_sends;
  figures_.max_cold_sends_per_second = std::max<std::uint64_t>(
      figures_.max_cold_sends_per_second, cold_arrivals.size());
}

EndpointReport LoadEmulator::ReportOf(std::size_t server) const {
  EndpointReport report;
  report.in_flight = servers_[server].running;
  report.queued = static_cast<std::int32_t>(servers_[server].waiting.size());
  report.slots = service_.slots;
  report.pace = SlowFactor(server);
  return report;
}

Duration LoadEmulator::RandomLateness() {
  return load_.most_lateness > Duration::zero()
             ? Scaled(load_.most_lateness, Uniform(random_))
             : Duration::zero();
}

Duration LoadEmulator::OneWayDelay(const Host& host,
                                   const Server& server) const {
  return host.zone == server.zone ? service_.same_zone_delay
                                  : service_.cross_zone_delay;
}

}  // namespace damasktack
