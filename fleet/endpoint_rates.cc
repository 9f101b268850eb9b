#include "fleet/endpoint_rates.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <utility>

namespace damasktack {

namespace {

// Ages in reports are capped at this.
constexpr Duration kMaxReportedAge = std::chrono::hours(24);

void LogStated(const StatedRate& stated, std::string_view source) {
  spdlog::info(
      "event=endpoint-rate-limit endpoint={} requests_per_second={} source={}",
      stated.endpoint.id.text(),
      stated.rate_limit ? std::to_string(*stated.rate_limit) : "none", source);
}

// Minimum time for which the statement of an unlisted process is stored.
constexpr Duration kUnlistedRetention = std::chrono::seconds(60);

}  // namespace

EndpointRateReport MakeEndpointRateReport(const std::vector<StatedRate>& rates,
                                          TimePoint now) {
  EndpointRateReport report;
  for (const StatedRate& it : rates) {
    const Duration age =
        std::clamp(now - it.at, Duration::zero(), kMaxReportedAge);
    report.statements.push_back({it.endpoint, it.rate_limit, age});
  }
  return report;
}

void EndpointRates::SetOnUpdates(std::function<void()> on_updates) {
  const std::lock_guard lock(mutex_);
  on_updates_ = std::move(on_updates);
}

void EndpointRates::SetOnReceived(
    std::function<void(const StatedRate&)> on_received) {
  const std::lock_guard lock(mutex_);
  on_received_ = std::move(on_received);
}

bool EndpointRates::Update(const StatedRate& stated) {
  const auto known = rates_.find(stated.endpoint);
  if (known == rates_.end()) {
    if (!stated.rate_limit) {
      return false;
    }
    EvictOldestIfFull();
    rates_.emplace(stated.endpoint, stated);
    return true;
  }
  if (stated.at <= known->second.at) {
    return false;
  }
  const bool has_changed = known->second.rate_limit != stated.rate_limit;
  known->second = stated;
  return has_changed;
}

void EndpointRates::EvictOldestIfFull() {
  if (rates_.size() < kMaxEndpoints) {
    return;
  }
  const auto oldest = std::ranges::min_element(
      rates_, {}, [](const auto& it) { return it.second.at; });
  unshared_.erase(oldest->first);
  rates_.erase(oldest);
}

void EndpointRates::OnStated(const StatedRate& stated) {
  std::function<void()> on_updates;
  {
    const std::lock_guard lock(mutex_);
    if (Update(stated)) {
      unshared_.insert(stated.endpoint);
    }
    if (!unshared_.empty() && budget_.Take(stated.at)) {
      on_updates = on_updates_;
      LogStated(stated, "endpoint");
    }
  }
  if (on_updates) {
    on_updates();
  }
}

std::vector<StatedRate> EndpointRates::TakeUpdates() {
  const std::lock_guard lock(mutex_);
  std::vector<StatedRate> updates;
  for (const EndpointProcess& it : std::exchange(unshared_, {})) {
    updates.push_back(rates_.at(it));
  }
  return updates;
}

std::vector<StatedRate> EndpointRates::Take(const EndpointRateReport& report,
                                            TimePoint now) {
  std::vector<StatedRate> updates;
  std::function<void(const StatedRate&)> on_received;
  {
    const std::lock_guard lock(mutex_);
    for (const EndpointRateReport::Statement& it : report.statements) {
      const StatedRate stated{it.endpoint, it.rate_limit, now - it.age};
      if (Update(stated)) {
        unshared_.erase(it.endpoint);
        updates.push_back(stated);
      }
    }
    on_received = on_received_;
  }
  for (const StatedRate& it : updates) {
    LogStated(it, "peer");
    if (on_received) {
      on_received(it);
    }
  }
  return updates;
}

std::vector<StatedRate> EndpointRates::InForce() const {
  const std::lock_guard lock(mutex_);
  std::vector<StatedRate> rates;
  for (const auto& [endpoint, it] : rates_) {
    if (it.rate_limit) {
      rates.push_back(it);
    }
  }
  return rates;
}

void EndpointRates::ForgetUnlisted(
    const std::function<bool(const EndpointProcess&)>& is_listed,
    TimePoint now) {
  const std::lock_guard lock(mutex_);
  std::erase_if(rates_, [&](const auto& it) {
    const bool is_removed =
        now - it.second.at >= kUnlistedRetention && !is_listed(it.first);
    if (is_removed) {
      unshared_.erase(it.first);
    }
    return is_removed;
  });
}

}  // namespace damasktack
