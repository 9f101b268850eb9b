#include "fleet/limit_borrower.h"

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

// Borrowers far past this ask for less from more lenders in vain.
constexpr std::size_t kMostDebts = 1024;

// A lender that has nothing is asked again after at most this.
constexpr Duration kLongestRefusal = std::chrono::seconds(4);

}  // namespace

std::int64_t LimitBorrower::Usable(Duration longest_call, TimePoint now) const {
  std::int64_t usable = 0;
  for (const Debt& it : debts_) {
    const bool live = now < it.until && longest_call <= it.longest_call;
    usable += live ? it.amount : 0;
  }
  return usable;
}

std::int64_t LimitBorrower::Pending() const {
  std::int64_t pending = 0;
  for (const Unanswered& it : unanswered_) {
    pending += it.ask.amount;
  }
  return pending;
}

LimitBorrower::Ask LimitBorrower::Borrow(const HostId& lender,
                                         std::uint64_t lease,
                                         std::int64_t amount,
                                         TimePoint now) {
  const Ask ask{lender, lease, 0, amount};
  unanswered_.push_back({ask, now, now});
  return ask;
}

bool LimitBorrower::Asks(const HostId& lender, TimePoint now) const {
  const bool waits = std::any_of(
      unanswered_.begin(), unanswered_.end(),
      [&](const Unanswered& it) { return it.ask.lender == lender; });
  const bool refused = std::any_of(
      refusals_.begin(), refusals_.end(),
      [&](const Refusal& it) { return it.lender == lender && now < it.until; });
  return !waits && !refused && debts_.size() < kMostDebts;
}

void LimitBorrower::OnGrant(const HostId& lender,
                            Incarnation incarnation,
                            const LendGrantItem& item,
                            TimePoint now) {
  const auto is_first = [&](const Unanswered& it) {
    return it.ask.lease == item.lease && it.ask.lender == lender;
  };
  const auto first =
      std::find_if(unanswered_.begin(), unanswered_.end(), is_first);
  if (first != unanswered_.end() && item.renewal == 0) {
    const Unanswered asked = *first;
    unanswered_.erase(first);
    if (item.amount < asked.ask.amount) {
      Refuse(lender, item.amount > 0, now);
    }
    if (item.amount > 0) {
      debts_.push_back({lender, incarnation, item.lease, 0, item.amount,
                        item.lasts, item.longest_call,
                        asked.asked_at + item.lasts, std::nullopt, now});
    }
    return;
  }
  const auto debt =
      std::find_if(debts_.begin(), debts_.end(), [&](const Debt& it) {
        return it.lease == item.lease && it.lender == lender;
      });
  // A grant that comes after its ask was given up is handed back: the lender
  // would otherwise keep the part aside until its own, longer, hold ends.
  if (debt == debts_.end()) {
    if (item.amount > 0) {
      ended_.push_back({lender, item.lease});
    }
    return;
  }
  const bool answers_renewal =
      debt->renewal_asked && debt->renewal == item.renewal;
  if (answers_renewal && item.amount > 0) {
    debt->until = *debt->renewal_asked + debt->lasts;
    debt->renewal_asked.reset();
  }
}

// Where every host is short, none has anything to lend; asking all of them
// several times a second would be most of what hosts say to each other.
void LimitBorrower::Refuse(const HostId& lender,
                           bool lent_some,
                           TimePoint now) {
  const auto it =
      std::find_if(refusals_.begin(), refusals_.end(),
                   [&](const Refusal& one) { return one.lender == lender; });
  const bool again = it != refusals_.end() && !lent_some;
  const Duration wait =
      again ? std::min(it->wait * 2, kLongestRefusal) : options_.repeat;
  if (it != refusals_.end()) {
    refusals_.erase(it);
  }
  refusals_.push_back({lender, now + wait, wait});
}

std::vector<LimitBorrower::Ask> LimitBorrower::Due(TimePoint now) {
  std::vector<Ask> due;
  for (Unanswered& it : unanswered_) {
    if (it.sent_at + options_.repeat <= now) {
      it.sent_at = now;
      due.push_back(it.ask);
    }
  }
  for (Debt& it : debts_) {
    const bool half_over = it.until - it.lasts / 2 <= now;
    if (!half_over || it.sent_at + options_.repeat > now) {
      continue;
    }
    if (!it.renewal_asked) {
      ++it.renewal;
      it.renewal_asked = now;
    }
    it.sent_at = now;
    due.push_back({it.lender, it.lease, it.renewal, it.amount});
  }
  return due;
}

void LimitBorrower::Expire(TimePoint now) {
  std::erase_if(unanswered_, [&](const Unanswered& it) {
    return it.asked_at + options_.lease / 2 < now;
  });
  std::erase_if(refusals_, [&](const Refusal& it) {
    return it.until + kLongestRefusal < now;
  });
  std::erase_if(debts_, [&](const Debt& it) {
    if (now < it.until) {
      return false;
    }
    End(it);
    return true;
  });
}

bool LimitBorrower::GiveUp(std::int64_t amount) {
  auto largest = debts_.end();
  for (auto it = debts_.begin(); it != debts_.end(); ++it) {
    const bool fits = it->amount <= amount;
    if (fits && (largest == debts_.end() || it->amount > largest->amount)) {
      largest = it;
    }
  }
  if (largest == debts_.end()) {
    return false;
  }
  End(*largest);
  debts_.erase(largest);
  return true;
}

void LimitBorrower::GiveUpAll() {
  unanswered_.clear();
  for (const Debt& it : debts_) {
    End(it);
  }
  debts_.clear();
}

void LimitBorrower::DropOthers(const HostId& lender, Incarnation incarnation) {
  std::erase_if(debts_, [&](const Debt& it) {
    return it.lender == lender && it.incarnation != incarnation;
  });
}

std::vector<LimitBorrower::Return> LimitBorrower::TakeEnded() {
  return std::exchange(ended_, {});
}

}  // namespace damasktack
