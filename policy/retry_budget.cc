#include "policy/retry_budget.h"

#include <algorithm>

namespace damasktack {

namespace {

constexpr double kPercent = 0.01;
// The rest is for hosts that start, each with a repeat of its own, and for
// wrong beliefs of how many hosts there are.
constexpr double kSlackUsed = 0.75;
// Weight of one more send in the part that failed.
constexpr double kSampleWeight = 1.0 / 64;
// The same for the part that was refused: a host may have a few sends a second,
// and half of them refused has to show within seconds.
constexpr double kRefusalWeight = 1.0 / 8;

void Earn(double& repeats, std::int64_t percent, double cap) {
  repeats = std::min(cap, repeats + static_cast<double>(percent) * kPercent);
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

void RetryBudget::Refill(Account& account, TimePoint now) const {
  const double earned =
      std::chrono::duration<double>(now - account.refilled_at) /
      std::chrono::duration<double>(options_.idle_refill);
  account.refilled_at = now;
  // Never above one: this is for those that send too little to earn any.
  if (account.repeats < 1) {
    account.repeats = std::min(1.0, account.repeats + earned);
  }
}

void RetryBudget::ForgetIdle(TimePoint now) {
  // One that did nothing for this long is back at the one repeat that a new
  // customer starts with, or above it: forgetting gives nobody more.
  std::erase_if(customers_, [&](const auto& it) {
    return now - it.second.refilled_at >= options_.idle_refill;
  });
  // The bound on memory holds whatever arrives. Starting over gives each
  // customer one repeat at most, and the service's own account still binds.
  if (customers_.size() >= options_.max_customers) {
    customers_.clear();
  }
}

RetryBudget::Account& RetryBudget::AccountOf(const CustomerId& customer,
                                             TimePoint now) {
  const auto it = customers_.find(customer);
  if (it != customers_.end()) {
    Refill(it->second, now);
    return it->second;
  }
  if (customers_.size() >= options_.max_customers) {
    ForgetIdle(now);
  }
  return customers_.emplace(customer, Account{1, now}).first->second;
}

void RetryBudget::OnFirstSend(const CustomerId& customer,
                              std::int64_t percent,
                              TimePoint now) {
  Earn(AccountOf(customer, now).repeats, percent, options_.customer_cap);
  Earn(service_.repeats, options_.service_percent, options_.service_cap);
  window_.OnFirstSend(now);
}

bool RetryBudget::TrySpend(const CustomerId& customer,
                           std::int64_t percent,
                           TimePoint now) {
  if (percent <= 0) {
    return false;
  }
  Account& account = AccountOf(customer, now);
  if (account.repeats < 1 || !TrySpendOfService(now)) {
    return false;
  }
  account.repeats -= 1;
  return true;
}

bool RetryBudget::TrySpendOfService(TimePoint now) {
  if (options_.fleet_slack > 0) {
    window_.SetShare(options_.fleet_slack * kSlackUsed / fleet_.Count(now));
    return window_.TrySpend(now);
  }
  Refill(service_, now);
  if (service_.repeats < 1) {
    return false;
  }
  service_.repeats -= 1;
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
