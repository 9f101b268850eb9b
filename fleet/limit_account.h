#ifndef FLEET_LIMIT_ACCOUNT_H_
#define FLEET_LIMIT_ACCOUNT_H_

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "fleet/fleet_module.h"
#include "fleet/limit_borrower.h"
#include "fleet/limit_lender.h"
#include "fleet/limit_messages.h"
#include "fleet/limit_options.h"

namespace damasktack {

// Tracks one limit of one customer on this host: the shares that it owns, has
// lent and has borrowed, their current use, and the expected demand. Amounts
// are in kLimitUnit.
class LimitAccount {
 public:
  LimitAccount(LimitKind kind, const LimitOptions& options);

  // Sets the limit of the whole fleet, in calls or calls per second; 0 means
  // unlimited. `longest_call` is the longest deadline of the customer's calls.
  void SetLimit(std::int64_t limit, Duration longest_call, TimePoint now);
  // Sets this host's own share: 1/`hosts` of the limit if `owns`, else none.
  void SetDivision(std::int64_t hosts, bool owns, TimePoint now);

  bool bounded() const { return limit_ > 0; }
  // Returns whether nothing is in flight, lent or borrowed, so that the
  // account may be removed.
  bool idle() const {
    return in_flight_ == 0 && lender_.size() == 0 && borrower_.size() == 0;
  }
  // Returns whether the usable shares admit one more call. Counts the call as
  // demand either way.
  bool OfferCall(TimePoint now);
  // Uses up the capacity of one call, after OfferCall returned true.
  void ConsumeCall();
  // Frees the capacity of a call that has ended, if the limit is on calls in
  // flight.
  void EndCall();
  // Returns how long the caller of a refused call should wait before a retry.
  Duration RetryAfter(TimePoint now) const;

  // Returns the amount this host may use now: owned and not lent, plus
  // borrowed.
  std::int64_t Usable(TimePoint now) const;
  std::int64_t owned() const { return owned_; }
  std::int64_t lent() const { return lender_.total(); }
  std::int64_t Borrowed(TimePoint now) const;
  std::int64_t in_flight() const { return in_flight_; }
  // Returns whether calls in flight and loans fit into the shares that this
  // host has now. False for a while after its shares have shrunk.
  bool IsWithinShares(TimePoint now) const;

  // Returns the amount lent for the request, 0 if none.
  std::int64_t Lend(const HostId& borrower,
                    const LendRequestItem& item,
                    TimePoint now);
  // Handles the early return of a lease by its borrower.
  void Reclaim(const HostId& borrower, std::uint64_t lease, TimePoint now);
  void OnGrant(const Sender& lender, const LendGrantItem& item, TimePoint now);
  // Drops leases granted by other processes of `lender` than `incarnation`.
  void DropOtherIncarnations(const HostId& lender,
                             Incarnation incarnation,
                             TimePoint now);

  // Removes expired leases and updates the expected demand. To be called once
  // a round.
  void Update(TimePoint now);
  // Returns the amount that the expected demand needs beyond what is usable
  // and what has been requested; negative if there is a surplus.
  std::int64_t Shortfall(TimePoint now) const;
  LimitBorrower& borrower() { return borrower_; }
  // Returns an amount that a single lender is likely to be able to lend.
  std::int64_t TypicalShare() const;
  // Ends one lease that the expected demand does not need.
  void ReturnSurplus(TimePoint now);

 private:
  // Returns the amount by which in-flight calls may exceed the usable shares,
  // to make up for rounding.
  std::int64_t Tolerance() const;
  // Adds the tokens for the time since the last refill, at the lower of the
  // usable rates then and now.
  void RefillTokens(TimePoint now);
  double TokenCap(std::int64_t usable) const;
  // Returns the expected demand with headroom, at most the limit.
  std::int64_t ExpectedNeed() const;
  void UpdateRateDemand(TimePoint now);
  void UpdateInFlightDemand();

  const LimitKind kind_;
  const LimitOptions options_;
  std::int64_t limit_ = 0;
  Duration longest_call_{};
  std::int64_t hosts_ = 1;
  std::int64_t owned_ = 0;
  LimitLender lender_;
  LimitBorrower borrower_;

  // Token bucket of a rate limit: the calls that may start now, the time of
  // the last refill, and the usable amount at that time.
  double tokens_ = 0;
  TimePoint refilled_at_;
  std::int64_t refill_rate_ = 0;

  std::int64_t in_flight_ = 0;

  // Expected demand: calls per second, or concurrent calls.
  double demand_ = 0;
  // Since the last update: calls offered, calls refused, and the peak of calls
  // in flight.
  std::int64_t offered_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t peak_ = 0;
  TimePoint demand_updated_at_;
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_ACCOUNT_H_
