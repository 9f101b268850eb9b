#ifndef FLEET_LIMIT_LENDER_H_
#define FLEET_LIMIT_LENDER_H_

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "fleet/limit_messages.h"

namespace damasktack {

// The lender's side of one limit: parts that others may be using. A part
// counts as lent from before the grant is sent until `hold` after it, so every
// use of it by the borrower ends earlier.
class LimitLender {
 public:
  // `hold` covers the lease and whatever outlasts it.
  explicit LimitLender(Duration hold) : hold_(hold) {}

  // The amount lent under this item: of `spare` for a first ask, the same as
  // before for a repeated one or a renewal. A renewal of a lease that has
  // ended, or of one that the lender needs back, lends nothing.
  std::int64_t Lend(const HostId& borrower,
                    const LendRequestItem& item,
                    std::int64_t spare,
                    bool renews,
                    TimePoint now);
  // The borrower has stopped using the part.
  void TakeBack(const HostId& borrower, std::uint64_t lease);
  void Expire(TimePoint now);

  std::int64_t total() const { return total_; }
  std::size_t size() const { return loans_.size(); }

 private:
  struct Loan {
    HostId borrower;
    std::uint64_t lease = 0;
    std::uint64_t renewal = 0;
    std::int64_t amount = 0;
    TimePoint until;
  };

  Loan* Find(const HostId& borrower, std::uint64_t lease);
  void AddUp();

  Duration hold_;
  std::vector<Loan> loans_;
  std::int64_t total_ = 0;
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_LENDER_H_
