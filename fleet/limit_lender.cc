#include "fleet/limit_lender.h"

#include <algorithm>

namespace damasktack {

namespace {

// Bounds what a borrower that asks without end can make a lender remember.
constexpr std::size_t kMostLoans = 1024;

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
    // The borrower may count this answer from its latest ask, so the loan is
    // prolonged also when the ask is an old one that comes late.
    loan->renewal = std::max(loan->renewal, item.renewal);
    loan->until = now + hold_;
    return loan->amount;
  }
  const std::int64_t amount = std::min(item.amount, spare);
  if (item.renewal > 0 || amount <= 0 || loans_.size() >= kMostLoans) {
    return 0;
  }
  loans_.push_back({borrower, item.lease, 0, amount, now + hold_});
  AddUp();
  return amount;
}

void LimitLender::TakeBack(const HostId& borrower, std::uint64_t lease) {
  std::erase_if(loans_, [&](const Loan& loan) {
    return loan.lease == lease && loan.borrower == borrower;
  });
  AddUp();
}

void LimitLender::Expire(TimePoint now) {
  std::erase_if(loans_, [&](const Loan& loan) { return loan.until < now; });
  AddUp();
}

void LimitLender::AddUp() {
  total_ = 0;
  for (const Loan& loan : loans_) {
    total_ += loan.amount;
  }
}

}  // namespace damasktack
