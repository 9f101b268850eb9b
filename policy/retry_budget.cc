#include "policy/retry_budget.h"

#include <algorithm>

namespace damasktack {

namespace {

constexpr double kPercent = 0.01;
// Fraction of the slack that is divided among the hosts. The rest is for
// starting hosts, each with one retry of its own, and for errors in the count
// of hosts.
constexpr double kAllocatedSlack = 0.75;
// Weight of a new send in the fraction that failed.
constexpr double kSampleWeight = 1.0 / 64;
// Weight of a new send in the fraction that was refused. It is larger, since a
// host may have only a few sends a second, and a refusal of half of them must
// show within seconds.
constexpr double kRefusalWeight = 1.0 / 8;

void Earn(double& retries, std::int64_t percent, double cap) {
  retries = std::min(cap, retries + static_cast<double>(percent) * kPercent);
}

}  // namespace

RetryBudget::RetryBudget(RetryBudgetOptions options, double rounding)
    : options_(options),
      window_(static_cast<double>(options.service_percent) * kPercent,
              rounding) {}

void RetryBudget::SetFleet(std::int64_t hosts,
                           std::size_t endpoints,
                           TimePoint now) {
  fleet_.Set(hosts, endpoints, now);
}

void RetryBudget::Refill(Budget& customer_budget, TimePoint now) const {
  const double earned =
      std::chrono::duration<double>(now - customer_budget.refilled_at) /
      std::chrono::duration<double>(options_.idle_refill);
  customer_budget.refilled_at = now;
  // At most one: this is for customers that send too little to earn any.
  if (customer_budget.retries < 1) {
    customer_budget.retries = std::min(1.0, customer_budget.retries + earned);
  }
}

void RetryBudget::RemoveIdle(TimePoint now) {
  // A customer that was idle for this long has at least the one retry that a
  // new customer starts with, so forgetting it grants nothing extra.
  std::erase_if(customers_, [&](const auto& it) {
    return now - it.second.refilled_at >= options_.idle_refill;
  });
  // Keeps memory bounded under any load. Starting over grants each customer at
  // most one retry, and the budget of the service still applies.
  if (customers_.size() >= options_.max_customers) {
    customers_.clear();
  }
}

RetryBudget::Budget& RetryBudget::BudgetOf(const CustomerId& customer,
                                           TimePoint now) {
  const auto it = customers_.find(customer);
  if (it != customers_.end()) {
    Refill(it->second, now);
    return it->second;
  }
  if (customers_.size() >= options_.max_customers) {
    RemoveIdle(now);
  }
  return customers_.emplace(customer, Budget{1, now}).first->second;
}

void RetryBudget::OnFirstSend(const CustomerId& customer,
                              std::int64_t percent,
                              TimePoint now) {
  Earn(BudgetOf(customer, now).retries, percent, options_.customer_cap);
  Earn(service_.retries, options_.service_percent, options_.service_cap);
  window_.OnFirstSend(now);
}

bool RetryBudget::TrySpend(const CustomerId& customer,
                           std::int64_t percent,
                           TimePoint now) {
  if (percent <= 0) {
    return false;
  }
  Budget& customer_budget = BudgetOf(customer, now);
  if (customer_budget.retries < 1 || !TrySpendFromService(now)) {
    return false;
  }
  customer_budget.retries -= 1;
  return true;
}

void RetryBudget::UpdateWindowShare(TimePoint now) {
  window_.SetShare(options_.fleet_slack * kAllocatedSlack / fleet_.Count(now));
}

bool RetryBudget::TrySpendOnHedge(const CustomerId& customer,
                                  std::int64_t percent,
                                  const HedgeShare& share,
                                  TimePoint now) {
  if (percent <= 0) {
    return false;
  }
  Budget& customer_budget = BudgetOf(customer, now);
  if (customer_budget.retries < 2 || !TrySpendOnHedgeFromService(share, now)) {
    return false;
  }
  customer_budget.retries -= 1;
  return true;
}

bool RetryBudget::TrySpendOnHedgeFromService(const HedgeShare& share,
                                             TimePoint now) {
  if (options_.fleet_slack > 0) {
    UpdateWindowShare(now);
    return window_.TrySpendOnHedge(share, now);
  }
  Refill(service_, now);
  const double reserve = share.reserve * options_.service_cap;
  if (service_.retries < 1 + reserve || !window_.AllowsHedge(share, now)) {
    return false;
  }
  service_.retries -= 1;
  window_.OnHedge(now);
  return true;
}

bool RetryBudget::TrySpendFromService(TimePoint now) {
  if (options_.fleet_slack > 0) {
    UpdateWindowShare(now);
    return window_.TrySpend(now);
  }
  Refill(service_, now);
  if (service_.retries < 1) {
    return false;
  }
  service_.retries -= 1;
  return true;
}

void RetryBudget::OnSendEnd(SendResult result) {
  if (result == SendResult::kCancelled) {
    return;
  }
  const double refused = result == SendResult::kShed ? 1 : 0;
  refused_ += (refused - refused_) * kRefusalWeight;
  if (SurelyNotRun(result)) {
    return;
  }
  const double failed = result == SendResult::kAnswered ? 0 : 1;
  failing_ += (failed - failing_) * kSampleWeight;
}

bool RetryBudget::IsFutile(SendResult result) const {
  return !SurelyNotRun(result) && failing_ > options_.max_failing;
}

}  // namespace damasktack
