#include "fleet/endpoint_rates.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <utility>

namespace damasktack {

namespace {

// A limit that has been in force for longer is told as this old.
constexpr Duration kOldest = std::chrono::hours(24);

void LogStated(const StatedRate& stated, std::string_view source) {
  spdlog::info(
      "event=endpoint-rate-limit endpoint={} requests_per_second={} source={}",
      stated.endpoint.id.text(),
      stated.rate_limit ? std::to_string(*stated.rate_limit) : "none", source);
}

// What is known of a process that is not listed is kept for so long.
constexpr Duration kUnlistedKept = std::chrono::seconds(60);

}  // namespace

EndpointRateReport MakeEndpointRateReport(const std::vector<StatedRate>& rates,
                                          TimePoint now) {
  EndpointRateReport report;
  for (const StatedRate& it : rates) {
    const Duration age = std::clamp(now - it.at, Duration::zero(), kOldest);
    report.statements.push_back({it.endpoint, it.rate_limit, age});
  }
  return report;
}

void EndpointRates::SetOnUpdates(std::function<void()> on_news) {
  const std::lock_guard lock(mutex_);
  on_news_ = std::move(on_news);
}

void EndpointRates::SetOnReceived(
    std::function<void(const StatedRate&)> on_heard) {
  const std::lock_guard lock(mutex_);
  on_heard_ = std::move(on_heard);
}

bool EndpointRates::Keep(const StatedRate& stated) {
  const auto known = rates_.find(stated.endpoint);
  if (known == rates_.end()) {
    if (!stated.rate_limit) {
      return false;
    }
    MakeRoom();
    rates_.emplace(stated.endpoint, stated);
    return true;
  }
  if (stated.at <= known->second.at) {
    return false;
  }
  const bool is_news = known->second.rate_limit != stated.rate_limit;
  known->second = stated;
  return is_news;
}

void EndpointRates::MakeRoom() {
  if (rates_.size() < kMost) {
    return;
  }
  const auto oldest = std::ranges::min_element(
      rates_, {}, [](const auto& it) { return it.second.at; });
  untold_.erase(oldest->first);
  rates_.erase(oldest);
}

void EndpointRates::OnStated(const StatedRate& stated) {
  std::function<void()> on_news;
  {
    const std::lock_guard lock(mutex_);
    if (Keep(stated)) {
      untold_.insert(stated.endpoint);
    }
    if (!untold_.empty() && budget_.Take(stated.at)) {
      on_news = on_news_;
      LogStated(stated, "endpoint");
    }
  }
  if (on_news) {
    on_news();
  }
}

std::vector<StatedRate> EndpointRates::TakeUpdates() {
  const std::lock_guard lock(mutex_);
  std::vector<StatedRate> news;
  for (const EndpointProcess& it : std::exchange(untold_, {})) {
    news.push_back(rates_.at(it));
  }
  return news;
}

std::vector<StatedRate> EndpointRates::Take(const EndpointRateReport& report,
                                            TimePoint now) {
  std::vector<StatedRate> news;
  std::function<void(const StatedRate&)> on_heard;
  {
    const std::lock_guard lock(mutex_);
    for (const EndpointRateReport::Statement& it : report.statements) {
      const StatedRate stated{it.endpoint, it.rate_limit, now - it.age};
      if (Keep(stated)) {
        untold_.erase(it.endpoint);
        news.push_back(stated);
      }
    }
    on_heard = on_heard_;
  }
  for (const StatedRate& it : news) {
    LogStated(it, "peer");
    if (on_heard) {
      on_heard(it);
    }
  }
  return news;
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
    const bool is_forgotten =
        now - it.second.at >= kUnlistedKept && !is_listed(it.first);
    if (is_forgotten) {
      untold_.erase(it.first);
    }
    return is_forgotten;
  });
}

}  // namespace damasktack
