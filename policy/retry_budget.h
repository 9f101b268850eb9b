#ifndef POLICY_RETRY_BUDGET_H_
#define POLICY_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"
#include "policy/call.h"
#include "policy/fleet_size.h"
#include "policy/repeat_window.h"

namespace damasktack {

struct RetryBudgetOptions {
  // Repeats of all customers of the service together, percent of first sends.
  std::int64_t service_percent = 20;
  // Unspent repeats a customer, or the service, may keep.
  double customer_cap = 10;
  double service_cap = 50;
  // Repeats beyond the percentage that all hosts together may send of one
  // service in any RepeatWindow. Above 0 that window takes the place of
  // `service_cap`.
  double fleet_slack = 0;
  // Time in which a customer that sends almost nothing earns one repeat.
  Duration idle_refill = std::chrono::seconds(10);
  std::size_t max_customers = 4096;
  // With a larger part of the recent sends failing, a repeat of a call that
  // failed while it ran is of no use.
  double max_failing = 0.25;
  // With a larger part of the recent sends refused unrun, repeats are scarce:
  // the budget is not enough for all of them.
  double max_refused = 0.25;
};

// Repeated sends that one host allows for one service: a part of the first
// sends of each customer and of all, so that a failing service is not sent
// many times its load.
class RetryBudget {
 public:
  // `rounding` from 0 to 1, drawn by each host; see RepeatWindow.
  explicit RetryBudget(RetryBudgetOptions options, double rounding = 0);

  // How many hosts share the slack of the service, and its endpoints.
  void SetFleet(std::int64_t hosts, std::size_t endpoints, TimePoint now);
  // A first send earns `percent` hundredths of a repeat.
  void OnFirstSend(const CustomerId& customer,
                   std::int64_t percent,
                   TimePoint now);
  // Spends one repeat. False where customer or service has none left; then
  // nothing is spent.
  bool TrySpend(const CustomerId& customer,
                std::int64_t percent,
                TimePoint now);

  void OnSendEnd(SendResult result);
  // Whether a repeat after `result` would most likely fail too. Never so for
  // a call that surely did not run: then this hop is the nearest to the
  // failure, and another endpoint may be well.
  bool IsFutile(SendResult result) const;

  // Whether so many sends are refused that whom a repeat is for matters.
  bool AreScarce() const { return refused_ > options_.max_refused; }

  std::size_t customers() const { return customers_.size(); }

 private:
  struct Account {
    double repeats = 1;
    TimePoint refilled_at;
  };

  Account& AccountOf(const CustomerId& customer, TimePoint now);
  void Refill(Account& account, TimePoint now) const;
  void ForgetIdle(TimePoint now);
  bool TrySpendOfService(TimePoint now);

  RetryBudgetOptions options_;
  std::unordered_map<CustomerId, Account> customers_;
  Account service_;
  FleetSize fleet_;
  RepeatWindow window_;
  // Part of the recent sends that failed, and that were refused unrun.
  double failing_ = 0;
  double refused_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_RETRY_BUDGET_H_
