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

// One limit of one customer on this host: the part owned, lent and borrowed,
// what is in use, and what is likely to be needed. Amounts in kLimitUnit.
class LimitAccount {
 public:
  LimitAccount(LimitKind kind, const LimitOptions& options);

  // `limit` in calls or calls a second; 0 bounds nothing. `longest_call` is
  // the longest deadline of the customer's calls.
  void SetLimit(std::int64_t limit, Duration longest_call, TimePoint now);
  // This host's part is 1/`hosts` where it owns one.
  void SetDivision(std::int64_t hosts, bool owns, TimePoint now);

  bool bounded() const { return limit_ > 0; }
  // Nothing is in flight, lent or borrowed: the account may be forgotten.
  bool idle() const {
    return in_flight_ == 0 && loans_.size() == 0 && debts_.size() == 0;
  }
  // Whether one more call fits. Counts the wish either way.
  bool Offer(TimePoint now);
  // Takes the room of one call that Offer found.
  void Take();
  // An in-flight call has ended.
  void GiveBack();
  // When a refused call has a chance again.
  Duration RetryAfter(TimePoint now) const;

  std::int64_t Usable(TimePoint now) const;
  std::int64_t owned() const { return owned_; }
  std::int64_t lent() const { return loans_.total(); }
  std::int64_t Borrowed(TimePoint now) const;
  std::int64_t in_flight() const { return in_flight_; }
  // Nothing in use rests on parts that this host no longer has.
  bool Fits(TimePoint now) const;

  std::int64_t Lend(const HostId& borrower,
                    const LendRequestItem& item,
                    TimePoint now);
  void TakeBack(const HostId& borrower, std::uint64_t lease, TimePoint now);
  void OnGrant(const Sender& lender, const LendGrantItem& item, TimePoint now);
  void DropOthers(const HostId& lender, Incarnation incarnation, TimePoint now);

  // Once a round: forgets what ended and follows the demand.
  void Round(TimePoint now);
  // What is missing for the expected demand, beyond what was asked for.
  std::int64_t Missing(TimePoint now) const;
  LimitBorrower& debts() { return debts_; }
  // Of a size that one lender is likely to have.
  std::int64_t TypicalPart() const;
  void GiveUpSurplus(TimePoint now);

 private:
  std::int64_t Tolerance() const;
  // Tokens for the time since the last change, at the lower of the rates.
  void Accrue(TimePoint now);
  double TokenCap(std::int64_t usable) const;
  std::int64_t Wanted() const;
  void FollowRate(TimePoint now);
  void FollowInFlight();

  const LimitKind kind_;
  const LimitOptions options_;
  std::int64_t limit_ = 0;
  Duration longest_call_{};
  std::int64_t hosts_ = 1;
  std::int64_t owned_ = 0;
  LimitLender loans_;
  LimitBorrower debts_;

  // Rate: calls that may start now, and when that was worked out.
  double tokens_ = 0;
  TimePoint accrued_at_;
  std::int64_t accrued_rate_ = 0;

  std::int64_t in_flight_ = 0;

  // Demand: calls a second, or calls at a time, as expected.
  double demand_ = 0;
  std::int64_t offered_ = 0;
  std::int64_t refused_ = 0;
  std::int64_t peak_ = 0;
  TimePoint followed_at_;
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_ACCOUNT_H_
