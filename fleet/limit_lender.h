#ifndef FLEET_LIMIT_LENDER_H_
#define FLEET_LIMIT_LENDER_H_

#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "fleet/limit_messages.h"

namespace damasktack {

// Keeps the lender's side of one limit: the shares that other hosts may be
// using. A share counts as lent from before the grant is sent until `hold`
// after it, so every use by the borrower ends earlier.
class LimitLender {
 public:
  // `hold` covers the lease and the calls that may outlast it.
  explicit LimitLender(Duration hold) : hold_(hold) {}

  // Returns the amount lent for the request: up to `spare` for a first request,
  // the same amount as before for a repeated request or a renewal. 0 for the
  // renewal of a lease that has ended, or if `renews` is false because the
  // lender needs the share itself.
  std::int64_t Lend(const HostId& borrower,
                    const LendRequestItem& item,
                    std::int64_t spare,
                    bool renews,
                    TimePoint now);
  // Removes a loan that the borrower has returned.
  void Reclaim(const HostId& borrower, std::uint64_t lease);
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
  void UpdateTotal();

  Duration hold_;
  std::vector<Loan> loans_;
  std::int64_t total_ = 0;
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_LENDER_H_
