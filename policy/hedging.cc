#include "policy/hedging.h"

namespace damasktack {

bool Hedging::TrySpend(const CallOffer& offer,
                       bool is_late,
                       RetryBudget& retries,
                       TimePoint now) {
  const HedgeOptions& options = policy_.options();
  const HedgeShare share{
      is_late ? options.max_late_fraction : options.max_fraction,
      options.retry_reserve};
  const bool is_granted =
      !retries.AreFailing() && !retries.AreScarce() &&
      retries.TrySpendOnHedge(offer.customer, offer.retry_percent, share, now);
  ++(is_granted ? granted_ : withheld_);
  return is_granted;
}

}  // namespace damasktack
