#include "fleet/overload/overload_view.h"

#include <algorithm>
#include <set>
#include <utility>

namespace damasktack {

namespace {

// Fraction by which the clocks of two hosts may drift apart.
constexpr double kClockDrift = 2e-4;

template <typename Message>
const typename Message::Item* FindItem(const std::optional<Message>& message,
                                       const ServiceId& service) {
  if (!message) {
    return nullptr;
  }
  const auto it =
      std::ranges::find(message->items, service, &Message::Item::service);
  return it == message->items.end() ? nullptr : &*it;
}

// Ends may be counted later than the offers, so a host may serve more than is
// offered to it for a moment.
constexpr double kMaxOfOffered = 2;

// Limits each rate to what the offered rate allows.
void Bound(UrgencyLoad& load, double max_offered) {
  const double offered = SumOf(load.offered);
  const double scale = offered > max_offered ? max_offered / offered : 1;
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    load.offered[n] *= scale;
    const double limit = kMaxOfOffered * load.offered[n];
    load.served[n] = std::min(load.served[n] * scale, limit);
    load.missed[n] = std::min(load.missed[n] * scale, limit);
  }
}

}  // namespace

Duration OverloadView::TransitTime::OnMessage(std::int64_t sent_us,
                                              TimePoint now) {
  // Unsigned, because a peer may state any value.
  const auto us = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          now.time_since_epoch())
          .count());
  const auto difference =
      static_cast<std::int64_t>(us - static_cast<std::uint64_t>(sent_us));
  // Half of the range of a Duration.
  constexpr std::int64_t kMaxUs = INT64_MAX / 2'000;
  const Duration offset =
      std::chrono::microseconds(std::clamp(difference, -kMaxUs, kMaxUs));
  if (offset_) {
    const auto drift = static_cast<Duration::rep>(
        kClockDrift * static_cast<double>((now - updated_at_).count()));
    offset_ = std::min(*offset_ + Duration(drift), offset);
  } else {
    offset_ = offset;
  }
  updated_at_ = now;
  return offset - *offset_;
}

double OverloadView::WeightAt(Duration age) {
  if (age <= kFullWeightAge) {
    return 1;
  }
  const double left = std::chrono::duration<double>(kMaxAge - age).count();
  const double range =
      std::chrono::duration<double>(kMaxAge - kFullWeightAge).count();
  return std::max(left / range, 0.0);
}

bool OverloadView::SetOwn(const ServiceId& service,
                          const UrgencyLoad& load,
                          bool is_short,
                          TimePoint now) {
  const std::lock_guard lock(mutex_);
  own_[service] = {load, is_short, now};
  return now - sent_at_ >= kInterval && HasNews(now);
}

void OverloadView::SetOnUpdates(std::function<void()> on_updates) {
  const std::lock_guard lock(mutex_);
  on_updates_ = std::move(on_updates);
}

void OverloadView::NotifyUpdates() {
  std::function<void()> on_updates;
  {
    const std::lock_guard lock(mutex_);
    on_updates = on_updates_;
  }
  if (on_updates) {
    on_updates();
  }
}

OverloadView::Peer* OverloadView::FindOrAdd(const HostId& host) {
  const auto it = peers_.find(host);
  if (it != peers_.end()) {
    return &it->second;
  }
  return peers_.size() < kMaxHosts ? &peers_[host] : nullptr;
}

void OverloadView::OnReport(const HostId& from,
                            const ServiceLoadReport& report,
                            TimePoint now) {
  const std::lock_guard lock(mutex_);
  ++received_;
  if (Peer* peer = FindOrAdd(from)) {
    peer->report_at = now - peer->transit.OnMessage(report.sent_us, now);
    peer->report = report;
  }
}

void OverloadView::OnSum(const HostId& from,
                         const ServiceLoadSum& sum,
                         TimePoint now) {
  const std::lock_guard lock(mutex_);
  ++received_;
  Peer* peer = FindOrAdd(from);
  if (peer == nullptr) {
    return;
  }
  const TimePoint at = now - peer->transit.OnMessage(sum.sent_us, now);
  (sum.is_part ? peer->part_at : peer->whole_at) = at;
  (sum.is_part ? peer->part : peer->whole) = sum;
}

void OverloadView::Forget(const HostId& host) {
  const std::lock_guard lock(mutex_);
  peers_.erase(host);
}

void OverloadView::AddStatements(const ServiceId& service,
                                 TimePoint now,
                                 std::vector<Weighted>& out) const {
  for (const auto& [host, peer] : peers_) {
    const auto* item = FindItem(peer.report, service);
    const Duration age = now - peer.report_at;
    const double weight = WeightAt(age);
    if (item != nullptr && weight > 0) {
      out.push_back({item->load, weight, 1, item->is_short, age});
    }
  }
}

void OverloadView::AddParts(const ServiceId& service,
                            TimePoint now,
                            std::vector<Weighted>& out) const {
  for (const auto& [host, peer] : peers_) {
    const auto* item = FindItem(peer.part, service);
    if (item == nullptr) {
      continue;
    }
    const Duration age = now - peer.part_at + item->age;
    const double weight = WeightAt(age);
    if (weight > 0) {
      out.push_back(
          {item->sum.total, weight, item->sum.hosts, item->sum.is_short, age});
    }
  }
}

std::optional<OverloadView::Weighted> OverloadView::BestWhole(
    const ServiceId& service,
    TimePoint now) const {
  std::optional<Weighted> best;
  for (const auto& [host, peer] : peers_) {
    const auto* item = FindItem(peer.whole, service);
    if (item == nullptr) {
      continue;
    }
    const Duration age = now - peer.whole_at + item->age;
    const double weight = WeightAt(age);
    if (weight > 0 &&
        (!best || weight * item->sum.hosts > best->weight * best->hosts)) {
      best = Weighted{item->sum.total, weight, item->sum.hosts,
                      item->sum.is_short, age};
    }
  }
  return best;
}

// Limits the statement with the most missed calls of an urgency per host to the
// second one, so that no single host can make the others limit their calls.
void OverloadView::LimitMissed(std::vector<Weighted>& statements) {
  if (std::ranges::count_if(
          statements, [](const Weighted& it) { return it.weight > 0; }) < 3) {
    return;
  }
  for (std::size_t n = 0; n < kUrgencyCount; ++n) {
    Weighted* most = nullptr;
    double second = 0;
    for (Weighted& it : statements) {
      if (most == nullptr || it.MissedPerHost(n) > most->MissedPerHost(n)) {
        second = most == nullptr ? 0 : most->MissedPerHost(n);
        most = &it;
      } else {
        second = std::max(second, it.MissedPerHost(n));
      }
    }
    most->load.missed[n] = second * std::max(most->hosts, 1.0);
  }
}

// Each statement is limited to a multiple of the median per host.
OverloadView::Sum OverloadView::Add(std::vector<Weighted>& statements) {
  std::vector<double> rates;
  for (const Weighted& it : statements) {
    const double rate = SumOf(it.load.offered) / std::max(it.hosts, 1.0);
    if (rate > 0) {
      rates.push_back(rate);
    }
  }
  double median = 0;
  if (!rates.empty()) {
    const auto middle =
        rates.begin() + static_cast<std::ptrdiff_t>((rates.size() - 1) / 2);
    std::ranges::nth_element(rates, middle);
    median = *middle;
  }
  Sum sum;
  double age = 0;
  for (Weighted& it : statements) {
    Bound(it.load, kMaxOfMedian * median * std::max(it.hosts, 1.0));
  }
  LimitMissed(statements);
  for (const Weighted& it : statements) {
    sum.load.total.Add(it.load, it.weight);
    sum.load.hosts += it.weight * it.hosts;
    sum.load.is_short = sum.load.is_short || it.is_short;
    age += it.weight * it.hosts * static_cast<double>(it.age.count());
  }
  if (sum.load.hosts > 0) {
    sum.age = Duration(static_cast<Duration::rep>(age / sum.load.hosts));
  }
  return sum;
}

PeerLoad OverloadView::PeersOfLocked(const ServiceId& service,
                                     TimePoint now) const {
  std::vector<Weighted> statements;
  AddStatements(service, now, statements);
  AddParts(service, now, statements);
  if (statements.empty()) {
    if (const std::optional<Weighted> whole = BestWhole(service, now)) {
      statements.push_back(*whole);
    }
  }
  // This host's own load takes part in the median, so that a single peer is
  // bounded as well.
  const auto own = own_.find(service);
  if (own != own_.end()) {
    statements.push_back({own->second.load, 0, 1, false, {}});
  }
  return Add(statements).load;
}

PeerLoad OverloadView::PeersOf(const ServiceId& service, TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return PeersOfLocked(service, now);
}

bool OverloadView::HasNews(TimePoint now) const {
  return std::ranges::any_of(own_, [&](const auto& it) {
    return now - it.second.at < kMaxAge &&
           (it.second.is_short || PeersOfLocked(it.first, now).is_short);
  });
}

std::optional<ServiceLoadReport> OverloadView::TakeReport(TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (now - sent_at_ < kInterval) {
    return std::nullopt;
  }
  ServiceLoadReport report;
  for (const auto& [service, own] : own_) {
    const bool is_needed = own.is_short || PeersOfLocked(service, now).is_short;
    if (is_needed && now - own.at < kMaxAge) {
      report.items.push_back({service, own.load, own.is_short});
    }
  }
  if (report.items.empty()) {
    return std::nullopt;
  }
  report.sent_us = std::chrono::duration_cast<std::chrono::microseconds>(
                       now.time_since_epoch())
                       .count();
  sent_at_ = now;
  ++sent_;
  return report;
}

std::optional<ServiceLoadSum> OverloadView::MakeSum(bool is_part,
                                                    TimePoint now) {
  const std::lock_guard lock(mutex_);
  std::set<ServiceId> services;
  for (const auto& [service, own] : own_) {
    services.insert(service);
  }
  for (const auto& [host, peer] : peers_) {
    if (peer.report) {
      for (const auto& it : peer.report->items) {
        services.insert(it.service);
      }
    }
    if (peer.part && !is_part) {
      for (const auto& it : peer.part->items) {
        services.insert(it.service);
      }
    }
  }
  ServiceLoadSum sum;
  sum.is_part = is_part;
  sum.sent_us = std::chrono::duration_cast<std::chrono::microseconds>(
                    now.time_since_epoch())
                    .count();
  for (const ServiceId& service : services) {
    std::vector<Weighted> statements;
    AddStatements(service, now, statements);
    if (!is_part) {
      AddParts(service, now, statements);
    }
    const auto own = own_.find(service);
    if (own != own_.end() && now - own->second.at < kMaxAge) {
      statements.push_back({own->second.load, WeightAt(now - own->second.at), 1,
                            own->second.is_short, now - own->second.at});
    }
    const Sum added = Add(statements);
    const bool is_needed = added.load.is_short ||
                           (is_part && PeersOfLocked(service, now).is_short);
    if (is_needed && added.load.hosts > 0) {
      sum.items.push_back({service, added.load, added.age});
    }
  }
  if (sum.items.empty()) {
    return std::nullopt;
  }
  ++sent_;
  return sum;
}

std::uint64_t OverloadView::sent() const {
  const std::lock_guard lock(mutex_);
  return sent_;
}

std::uint64_t OverloadView::received() const {
  const std::lock_guard lock(mutex_);
  return received_;
}

}  // namespace damasktack
