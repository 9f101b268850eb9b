#ifndef FLEET_LIMIT_BORROWER_H_
#define FLEET_LIMIT_BORROWER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "fleet/limit_messages.h"
#include "fleet/limit_options.h"

namespace damasktack {

// The borrower's side of one limit. A lease is counted from before its ask
// was first sent, so it ends here before it ends at the lender.
class LimitBorrower {
 public:
  // A wish for a lender, still without its lease's customer and kind.
  struct Ask {
    HostId lender;
    std::uint64_t lease = 0;
    std::uint64_t renewal = 0;
    std::int64_t amount = 0;
  };
  struct Return {
    HostId lender;
    std::uint64_t lease = 0;
  };

  explicit LimitBorrower(const LimitOptions& options) : options_(options) {}

  // What may be used now, of leases that allow calls of `longest_call`.
  std::int64_t Usable(Duration longest_call, TimePoint now) const;
  // Asked for and not yet answered.
  std::int64_t Pending() const;

  Ask Borrow(const HostId& lender,
             std::uint64_t lease,
             std::int64_t amount,
             TimePoint now);
  void OnGrant(const HostId& lender,
               Incarnation incarnation,
               const LendGrantItem& item,
               TimePoint now);
  // Renewals that are due and asks that went unanswered.
  std::vector<Ask> Due(TimePoint now);
  // Forgets unanswered asks; leases that ended wait to be returned.
  void Expire(TimePoint now);
  // Gives up one lease of at most `amount`, the largest such.
  bool GiveUp(std::int64_t amount);
  void GiveUpAll();
  // Gives up what other processes of that host have lent.
  void DropOthers(const HostId& lender, Incarnation incarnation);
  // Leases that this host has stopped using, to be told to their lenders once
  // no call rests on them.
  std::vector<Return> TakeEnded();

  bool Asks(const HostId& lender, TimePoint now) const;
  std::size_t size() const { return debts_.size(); }

 private:
  struct Unanswered {
    Ask ask;
    TimePoint asked_at;
    TimePoint sent_at;
  };
  struct Debt {
    HostId lender;
    Incarnation incarnation = 0;
    std::uint64_t lease = 0;
    std::uint64_t renewal = 0;
    std::int64_t amount = 0;
    Duration lasts{};
    Duration longest_call{};
    TimePoint until;
    // When the newest renewal was first asked for; none while it is answered.
    std::optional<TimePoint> renewal_asked;
    TimePoint sent_at;
  };
  struct Refusal {
    HostId lender;
    TimePoint until;
    // Doubled with each refusal in a row.
    Duration wait{};
  };

  void Refuse(const HostId& lender, bool lent_some, TimePoint now);
  void End(const Debt& debt) { ended_.push_back({debt.lender, debt.lease}); }

  LimitOptions options_;
  std::vector<Unanswered> unanswered_;
  std::vector<Debt> debts_;
  std::vector<Return> ended_;
  std::vector<Refusal> refusals_;
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_BORROWER_H_
