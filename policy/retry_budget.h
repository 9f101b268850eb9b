#ifndef POLICY_RETRY_BUDGET_H_
#define POLICY_RETRY_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "core/ids.h"
#include "core/time.h"
#include "policy/call.h"
#include "policy/fleet_size.h"
#include "policy/retry_window.h"

namespace damasktack {

struct RetryBudgetOptions {
  // Retries of all customers of the service together, in percent of first
  // sends.
  std::int64_t service_percent = 20;
  // Limits on the unspent retries that a customer, or the service, may
  // accumulate.
  double customer_cap = 10;
  double service_cap = 50;
  // Retries beyond the percentage that all hosts together may send of one
  // service in any RetryWindow. If positive, that window replaces
  // `service_cap`.
  double fleet_slack = 0;
  // Time in which a customer with almost no traffic earns one retry.
  Duration idle_refill = std::chrono::seconds(10);
  std::size_t max_customers = 4096;
  // Fraction of failed sends above which a call that failed during its
  // execution is not retried, since the retry would most likely fail too.
  double max_failing = 0.25;
  // Fraction of sends refused without execution above which retries are scarce:
  // the budget does not suffice for all of them.
  double max_refused = 0.25;
};

// Limits the retries of one host for one service to a fraction of the first
// sends, of each customer and in total, so that a failing service does not
// receive a multiple of its load.
class RetryBudget {
 public:
  // `rounding` is from 0 to 1, drawn at random by each host; see RetryWindow.
  explicit RetryBudget(RetryBudgetOptions options, double rounding = 0);

  // Sets the number of hosts that share the slack of the service, and the
  // number of its endpoints.
  void SetFleet(std::int64_t hosts, std::size_t endpoints, TimePoint now);
  // Records a first send, which earns `percent` hundredths of a retry.
  void OnFirstSend(const CustomerId& customer,
                   std::int64_t percent,
                   TimePoint now);
  // Spends one retry. Returns false, and spends nothing, if the customer or the
  // service has none left.
  bool TrySpend(const CustomerId& customer,
                std::int64_t percent,
                TimePoint now);

  // Like TrySpend, for a second send of a call whose first one is in flight.
  // Leaves the customer one retry, and the service the reserve.
  bool TrySpendOnHedge(const CustomerId& customer,
                       std::int64_t percent,
                       const HedgeShare& share,
                       TimePoint now);

  void OnSendEnd(SendResult result);
  // Returns whether a retry after `result` would most likely fail too. This
  // never holds for a call that certainly did not run: then this hop is the
  // nearest to the failure, and another endpoint may be healthy.
  bool IsFutile(SendResult result) const;

  // Returns whether so many sends fail that most second sends would fail too.
  bool AreFailing() const { return failing_ > options_.max_failing; }

  // Returns whether so many sends are refused that retries must be reserved for
  // the callers that need them most.
  bool AreScarce() const { return refused_ > options_.max_refused; }

  std::size_t customers() const { return customers_.size(); }

 private:
  struct Budget {
    double retries = 1;
    TimePoint refilled_at;
  };

  Budget& BudgetOf(const CustomerId& customer, TimePoint now);
  void Refill(Budget& customer_budget, TimePoint now) const;
  void RemoveIdle(TimePoint now);
  bool TrySpendFromService(TimePoint now);
  bool TrySpendOnHedgeFromService(const HedgeShare& share, TimePoint now);
  // Updates this host's part of the fleet's slack.
  void UpdateWindowShare(TimePoint now);

  RetryBudgetOptions options_;
  std::unordered_map<CustomerId, Budget> customers_;
  Budget service_;
  FleetSize fleet_;
  RetryWindow window_;
  // Fractions of the recent sends that failed, and that were refused without
  // execution.
  double failing_ = 0;
  double refused_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_RETRY_BUDGET_H_
