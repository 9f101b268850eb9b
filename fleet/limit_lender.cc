#include "fleet/limit_lender.h"

#include <algorithm>

namespace damasktack {

namespace {

// Bounds the memory that a borrower can take at a lender by endless requests.
constexpr std::size_t kMaxLoans = 1024;

}  // namespace

LimitLender::Loan* LimitLender::Find(const HostId& borrower,
                                     std::uint64_t lease) {
  const auto it =
      std::find_if(loans_.begin(), loans_.end(), [&](const Loan& loan) {
        return loan.lease == lease && loan.borrower == borrower;
      });
  return it == loans_.end() ? nullptr : &*it;
}

std::int64_t LimitLender::Lend(const HostId& borrower,
                               const LendRequestItem& item,
                               std::int64_t spare,
                               bool renews,
                               TimePoint now) {
  if (Loan* loan = Find(borrower, item.lease)) {
    if (item.renewal > loan->renewal && !renews) {
      return 0;
    }
    // The borrower may match this answer to its latest request and count the
    // lease from there, so the loan is extended even if the request is an old
    // one that arrives late.
    loan->renewal = std::max(loan->renewal, item.renewal);
    loan->until = now + hold_;
    return loan->amount;
  }
  const std::int64_t amount = std::min(item.amount, spare);
  if (item.renewal > 0 || amount <= 0 || loans_.size() >= kMaxLoans) {
    return 0;
  }
  loans_.push_back({borrower, item.lease, 0, amount, now + hold_});
  UpdateTotal();
  return amount;
}

void LimitLender::Reclaim(const HostId& borrower, std::uint64_t lease) {
  std::erase_if(loans_, [&](const Loan& loan) {
    return loan.lease == lease && loan.borrower == borrower;
  });
  UpdateTotal();
}

void LimitLender::Expire(TimePoint now) {
  std::erase_if(loans_, [&](const Loan& loan) { return loan.until < now; });
  UpdateTotal();
}

void LimitLender::UpdateTotal() {
  total_ = 0;
  for (const Loan& loan : loans_) {
    total_ += loan.amount;
  }
}

}  // namespace damasktack
