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
constexpr double kLateWorth = 0.1;
constexpr Duration kGiveBackSpread = std::chrono::milliseconds(300);
// Callers keep to a wait that is told them up to this part of their time.
constexpr int kPartForRetryAfter = 3;

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
          kLateWorth * static_cast<double>(late)) /
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
        hosts_[n].balancer->SetHostNumber(SeatOf(n));
      }
      hosts_[n].balancer->SetService(
          MakeSpec(service_.cold_from > Duration::zero()), believed_hosts_,
          now_);
    }
  }
}

HostNumber LoadEmulator::SeatOf(std::size_t host) const {
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
    endpoint.zone_drained = is_drained && IsOfColdPart(n);
    if (service_.cold_from == Duration::zero() && IsOfColdPart(n)) {
      endpoint.cold_until = ColdUntil();
    }
    spec.endpoints.push_back(endpoint);
  }
  return spec;
}

void LoadEmulator::At(TimePoint at, std::function<void()> act) {
  events_.push({at, ++order_, std::move(act)});
}

void LoadEmulator::DrawArrivals() {
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
      call->leaves_at = at + load_.leave_after;
      At(*call->leaves_at, [this, call] { Leave(call); });
    }
    ++figures_.calls;
    At(at, [this, call] { Arrive(call); });
  }
}

EmulatedFigures LoadEmulator::Run() {
  DrawArrivals();
  GiveBack();
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.act();
  }
  return figures_;
}

void LoadEmulator::Arrive(const std::shared_ptr<Call>& call) {
  if (call->leaves_at && now_ >= *call->leaves_at) {
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
    PlaceByOracle(call);
    return;
  }
  Decisions decisions;
  host.balancer->Offer(offer, now_, decisions);
  CarryOut(static_cast<std::size_t>(call->host), decisions);
}

void LoadEmulator::PlaceByOracle(const std::shared_ptr<Call>& call) {
  std::size_t best = 0;
  for (std::size_t n = 1; n < servers_.size(); ++n) {
    if (OracleFinish(*call, n) < OracleFinish(*call, best)) {
      best = n;
    }
  }
  if (now_ + OracleFinish(*call, best) > call->offer.on_time_until) {
    Refuse(call, std::chrono::milliseconds(15));
    return;
  }
  Place(call, best);
}

Duration LoadEmulator::OracleFinish(const Call& call,
                                    std::size_t server) const {
  const Server& it = servers_[server];
  const auto queued = static_cast<int>(it.waiting.size());
  const int with_it = it.running + it.coming + queued + 1;
  const double part = static_cast<double>(with_it) / service_.slots;
  const double slow =
      SlowFactor(server) * (part > service_.knee ? service_.knee_factor : 1);
  const double behind = std::max(0, with_it - service_.slots);
  const double work = slow * (call.work + behind / service_.slots);
  const Host& host = hosts_[static_cast<std::size_t>(call.host)];
  return 2 * Way(host, it) + Scaled(service_.work, work);
}

void LoadEmulator::Place(const std::shared_ptr<Call>& call,
                         std::size_t server) {
  const Host& host = hosts_[static_cast<std::size_t>(call->host)];
  Server& it = servers_[server];
  ++figures_.sends;
  ++it.coming;
  figures_.other_zone_sends += host.zone != it.zone ? 1 : 0;
  call->sent_at = now_;
  ++call->sends;
  const Send send{call, server, ++call->send};
  At(now_ + Way(host, it) + DrawLateness(), [this, send] { Reach(send); });
  At(call->offer.deadline, [this, send] {
    if (send.call->send == send.number) {
      End(send.call, SendResult::kTimedOut, std::nullopt);
    }
  });
}

void LoadEmulator::Reach(const Send& send) {
  Server& it = servers_[send.server];
  --it.coming;
  CountCold(send.server);
  if (send.call->is_dropped) {
    return;
  }
  const bool is_full = it.running >= service_.slots;
  const bool is_shed =
      (is_full && static_cast<int>(it.waiting.size()) >= service_.queue) ||
      (service_.shed_part > 0 && Uniform(random_) < service_.shed_part);
  if (is_shed) {
    ++figures_.sheds;
    Answer(send, SendResult::kShed);
  } else if (is_full) {
    it.waiting.push_back(send);
  } else {
    Start(send);
  }
}

void LoadEmulator::Start(const Send& send) {
  Server& it = servers_[send.server];
  ++it.running;
  send.call->is_running = true;
  const double part = static_cast<double>(it.running) / service_.slots;
  const double slow = SlowFactor(send.server) *
                      (part > service_.knee ? service_.knee_factor : 1);
  At(now_ + Scaled(service_.work, send.call->work * slow), [this, send] {
    if (send.call->is_dropped) {
      return;
    }
    send.call->is_running = false;
    FreeSlot(send.server);
    Answer(send, SendResult::kAnswered);
  });
}

void LoadEmulator::FreeSlot(std::size_t server) {
  Server& it = servers_[server];
  --it.running;
  if (!it.waiting.empty()) {
    const Send next = it.waiting.front();
    it.waiting.pop_front();
    Start(next);
  }
}

void LoadEmulator::Leave(const std::shared_ptr<Call>& call) {
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
  At(now_ + Way(hosts_[host], servers_[server]), [this, send] { Drop(send); });
  End(call, SendResult::kCancelled, std::nullopt);
}

void LoadEmulator::Drop(const Send& send) {
  Server& it = servers_[send.server];
  send.call->is_dropped = true;
  const bool was_waiting = std::erase(it.waiting, send) > 0;
  if (!was_waiting && send.call->is_running) {
    FreeSlot(send.server);
  }
}

void LoadEmulator::Answer(const Send& send, SendResult result) {
  const Host& host = hosts_[static_cast<std::size_t>(send.call->host)];
  const EndpointReport report = ReportOf(send.server);
  At(now_ + Way(host, servers_[send.server]), [this, send, result, report] {
    if (send.call->send == send.number) {
      EndpointReport read = report;
      read.asked_before = now_ - send.call->sent_at;
      End(send.call, result, read);
    }
  });
}

void LoadEmulator::End(const std::shared_ptr<Call>& call,
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
      Refuse(call, balancer != nullptr
                       ? balancer->RetryAfterSend(call->offer, end, now_)
                       : Duration::zero());
    } else if (result != SendResult::kCancelled) {
      ++figures_.failed;
    }
  }
  if (balancer != nullptr) {
    CarryOut(index, decisions);
  }
}

void LoadEmulator::CountAnswer(const Call& call) {
  const bool is_on_time = now_ <= call.first_arrival + load_.objective;
  ++(is_on_time ? figures_.on_time : figures_.late);
}

void LoadEmulator::Refuse(const std::shared_ptr<Call>& call,
                          Duration retry_after) {
  calls_.erase(call->offer.token);
  const Duration left = call->last_deadline - now_;
  const Duration wait =
      std::min<Duration>(retry_after, left / kPartForRetryAfter);
  const TimePoint back = now_ + wait + 2 * load_.caller_way;
  if (call->retries_left == 0 || back >= call->last_deadline) {
    ++figures_.refused;
    return;
  }
  --call->retries_left;
  At(back, [this, call] { Arrive(call); });
}

void LoadEmulator::CarryOut(std::size_t host, Decisions& decisions) {
  const Balancer& balancer = *hosts_[host].balancer;
  for (const Dispatch& it : std::exchange(decisions.dispatches, {})) {
    const std::shared_ptr<Call>& call = calls_.at(it.token);
    call->endpoint = it.endpoint;
    Place(call, ServerOf(balancer, it.endpoint));
  }
  for (const Rejection& it : std::exchange(decisions.rejections, {})) {
    Refuse(std::shared_ptr<Call>(calls_.at(it.token)), it.retry_after);
  }
  while (const auto probe = hosts_[host].balancer->NextProbe(now_)) {
    Probe(host, *probe);
  }
  KeepTicking(host);
}

void LoadEmulator::Probe(std::size_t host, EndpointIndex endpoint) {
  ++figures_.probes;
  const std::size_t server = ServerOf(*hosts_[host].balancer, endpoint);
  const Duration way = Way(hosts_[host], servers_[server]);
  const TimePoint asked_at = now_;
  At(now_ + way, [this, host, endpoint, server, way, asked_at] {
    EndpointReport report = ReportOf(server);
    report.cold_for = IsCold(server) ? ColdUntil() - now_ : Duration::zero();
    At(now_ + way + DrawLateness(), [this, host, endpoint, report, asked_at] {
      EndpointReport read = report;
      read.asked_before = now_ - asked_at;
      Decisions decisions;
      hosts_[host].balancer->Report(endpoint, read, now_, decisions);
      CarryOut(host, decisions);
    });
  });
}

void LoadEmulator::KeepTicking(std::size_t host) {
  Host& it = hosts_[host];
  if (it.has_tick || it.balancer->waiting() == 0) {
    return;
  }
  it.has_tick = true;
  At(now_ + kTick, [this, host] {
    hosts_[host].has_tick = false;
    Decisions decisions;
    hosts_[host].balancer->Tick(now_, decisions);
    CarryOut(host, decisions);
  });
}

// Each server is slow in some spans of time, which begin apart from each
// other's and follow from the seed alone.
double LoadEmulator::SlowFactor(std::size_t server) const {
  const Duration shift =
      service_.slow_for * static_cast<int>(server) / service_.endpoints;
  const auto span =
      static_cast<std::uint64_t>((now_ - kStart + shift) / service_.slow_for);
  Random draw(seed_ * 7919 + server * 104729 + span * 1299709);
  const double slow =
      Uniform(draw) < service_.slow_part ? service_.slow_factor : 1;
  return IsCold(server) ? slow * service_.cold_factor : slow;
}

TimePoint LoadEmulator::ColdFrom() const {
  return kStart + service_.cold_from;
}

bool LoadEmulator::IsOfColdPart(std::size_t server) const {
  return static_cast<double>(server) <
         service_.cold_part * static_cast<double>(servers_.size());
}

bool LoadEmulator::IsCold(std::size_t server) const {
  return IsOfColdPart(server) && now_ >= ColdFrom() && now_ < ColdUntil();
}

// Hosts hear of it one after the other.
void LoadEmulator::GiveBack() {
  if (service_.cold_from == Duration::zero()) {
    return;
  }
  for (std::size_t n = 0; n < hosts_.size(); ++n) {
    if (!hosts_[n].balancer) {
      continue;
    }
    const Duration after = kGiveBackSpread * static_cast<int>(n) / load_.hosts;
    At(ColdFrom() + after, [this, n] {
      hosts_[n].balancer->SetService(MakeSpec(false), believed_hosts_, now_);
    });
  }
}

void LoadEmulator::CountCold(std::size_t server) {
  if (!IsCold(server)) {
    return;
  }
  std::deque<TimePoint>& arrivals = servers_[server].arrivals;
  arrivals.push_back(now_);
  while (now_ - arrivals.front() >= std::chrono::seconds(1)) {
    arrivals.pop_front();
  }
  ++figures_.cold_sends;
  figures_.max_cold_sends_per_second = std::max<std::uint64_t>(
      figures_.max_cold_sends_per_second, arrivals.size());
}

EndpointReport LoadEmulator::ReportOf(std::size_t server) const {
  EndpointReport report;
  report.in_flight = servers_[server].running;
  report.queued = static_cast<std::int32_t>(servers_[server].waiting.size());
  report.slots = service_.slots;
  report.pace = SlowFactor(server);
  return report;
}

Duration LoadEmulator::DrawLateness() {
  return load_.most_lateness > Duration::zero()
             ? Scaled(load_.most_lateness, Uniform(random_))
             : Duration::zero();
}

Duration LoadEmulator::Way(const Host& host, const Server& server) const {
  return host.zone == server.zone ? service_.near_way : service_.far_way;
}

}  // namespace damasktack
