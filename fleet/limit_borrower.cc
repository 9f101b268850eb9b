#include "fleet/limit_borrower.h"

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

// Leases of one limit on one borrower. Beyond this, asking more lenders for
// ever smaller shares has no use.
constexpr std::size_t kMaxLeases = 1024;

// Upper bound of the backoff before a lender that refused is asked again.
constexpr Duration kMaxRefusalWait = std::chrono::seconds(4);

}  // namespace

std::int64_t LimitBorrower::Usable(Duration longest_call, TimePoint now) const {
  std::int64_t usable = 0;
  for (const Lease& it : leases_) {
    const bool live = now < it.until && longest_call <= it.longest_call;
    usable += live ? it.amount : 0;
  }
  return usable;
}

std::int64_t LimitBorrower::PendingAmount() const {
  std::int64_t pending = 0;
  for (const PendingRequest& it : pending_) {
    pending += it.request.amount;
  }
  return pending;
}

LimitBorrower::Request LimitBorrower::Borrow(const HostId& lender,
                                             std::uint64_t lease,
                                             std::int64_t amount,
                                             TimePoint now) {
  const Request request{lender, lease, 0, amount};
  pending_.push_back({request, now, now});
  return request;
}

bool LimitBorrower::CanRequestFrom(const HostId& lender, TimePoint now) const {
  const bool is_pending = std::any_of(
      pending_.begin(), pending_.end(),
      [&](const PendingRequest& it) { return it.request.lender == lender; });
  const bool refused = std::any_of(
      refusals_.begin(), refusals_.end(),
      [&](const Refusal& it) { return it.lender == lender && now < it.until; });
  return !is_pending && !refused && leases_.size() < kMaxLeases;
}

void LimitBorrower::OnGrant(const HostId& lender,
                            Incarnation incarnation,
                            const LendGrantItem& item,
                            TimePoint now) {
  const auto is_first = [&](const PendingRequest& it) {
    return it.request.lease == item.lease && it.request.lender == lender;
  };
  const auto first = std::find_if(pending_.begin(), pending_.end(), is_first);
  if (first != pending_.end() && item.renewal == 0) {
    const PendingRequest pending = *first;
    pending_.erase(first);
    if (item.amount < pending.request.amount) {
      RecordRefusal(lender, item.amount > 0, now);
    }
    if (item.amount > 0) {
      leases_.push_back({lender, incarnation, item.lease, 0, item.amount,
                         item.lasts, item.longest_call,
                         pending.requested_at + item.lasts, std::nullopt, now});
    }
    return;
  }
  const auto lease =
      std::find_if(leases_.begin(), leases_.end(), [&](const Lease& it) {
        return it.lease == item.lease && it.lender == lender;
      });
  // A grant that arrives after its request was dropped is returned: otherwise
  // the lender would keep the share reserved until its own, longer, hold ends.
  if (lease == leases_.end()) {
    if (item.amount > 0) {
      returns_.push_back({lender, item.lease});
    }
    return;
  }
  const bool answers_renewal =
      lease->renewal_requested_at && lease->renewal == item.renewal;
  if (answers_renewal && item.amount > 0) {
    lease->until = *lease->renewal_requested_at + lease->duration;
    lease->renewal_requested_at.reset();
  }
}

// Backs off exponentially. If all hosts are short of capacity, none can lend,
// and requests to all of them several times a second would make up most of the
// traffic between hosts.
void LimitBorrower::RecordRefusal(const HostId& lender,
                                  bool lent_some,
                                  TimePoint now) {
  const auto it =
      std::find_if(refusals_.begin(), refusals_.end(),
                   [&](const Refusal& one) { return one.lender == lender; });
  const bool is_repeated = it != refusals_.end() && !lent_some;
  const Duration wait = is_repeated ? std::min(it->wait * 2, kMaxRefusalWait)
                                    : options_.resend_interval;
  if (it != refusals_.end()) {
    refusals_.erase(it);
  }
  refusals_.push_back({lender, now + wait, wait});
}

std::vector<LimitBorrower::Request> LimitBorrower::TakeDueRequests(
    TimePoint now) {
  std::vector<Request> due;
  for (PendingRequest& it : pending_) {
    if (it.sent_at + options_.resend_interval <= now) {
      it.sent_at = now;
      due.push_back(it.request);
    }
  }
  for (Lease& it : leases_) {
    const bool renewal_due = it.until - it.duration / 2 <= now;
    if (!renewal_due || it.sent_at + options_.resend_interval > now) {
      continue;
    }
    if (!it.renewal_requested_at) {
      ++it.renewal;
      it.renewal_requested_at = now;
    }
    it.sent_at = now;
    due.push_back({it.lender, it.lease, it.renewal, it.amount});
  }
  return due;
}

void LimitBorrower::Expire(TimePoint now) {
  std::erase_if(pending_, [&](const PendingRequest& it) {
    return it.requested_at + options_.lease / 2 < now;
  });
  std::erase_if(refusals_, [&](const Refusal& it) {
    return it.until + kMaxRefusalWait < now;
  });
  std::erase_if(leases_, [&](const Lease& it) {
    if (now < it.until) {
      return false;
    }
    End(it);
    return true;
  });
}

bool LimitBorrower::ReturnOne(std::int64_t amount) {
  auto largest = leases_.end();
  for (auto it = leases_.begin(); it != leases_.end(); ++it) {
    const bool fits = it->amount <= amount;
    if (fits && (largest == leases_.end() || it->amount > largest->amount)) {
      largest = it;
    }
  }
  if (largest == leases_.end()) {
    return false;
  }
  End(*largest);
  leases_.erase(largest);
  return true;
}

void LimitBorrower::ReturnAll() {
  pending_.clear();
  for (const Lease& it : leases_) {
    End(it);
  }
  leases_.clear();
}

void LimitBorrower::DropOtherIncarnations(const HostId& lender,
                                          Incarnation incarnation) {
  std::erase_if(leases_, [&](const Lease& it) {
    return it.lender == lender && it.incarnation != incarnation;
  });
}

std::vector<LimitBorrower::Return> LimitBorrower::TakeReturns() {
  return std::exchange(returns_, {});
}

}  // namespace damasktack
