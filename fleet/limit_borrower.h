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

// Keeps the borrower's side of one limit: leases in use and lend requests
// without an answer. A lease runs from before its request was first sent, so it
// expires here before it expires at the lender.
class LimitBorrower {
 public:
  // A request to one lender. The caller adds the customer and the kind.
  struct Request {
    HostId lender;
    std::uint64_t lease = 0;
    std::uint64_t renewal = 0;
    std::int64_t amount = 0;
  };
  // A lease to be returned to its lender.
  struct Return {
    HostId lender;
    std::uint64_t lease = 0;
  };

  explicit LimitBorrower(const LimitOptions& options) : options_(options) {}

  // Returns the sum of the live leases that admit calls of `longest_call`.
  std::int64_t Usable(Duration longest_call, TimePoint now) const;
  // Returns the amount requested and not yet answered.
  std::int64_t PendingAmount() const;

  // Records a new request and returns it for sending.
  Request Borrow(const HostId& lender,
                 std::uint64_t lease,
                 std::int64_t amount,
                 TimePoint now);
  // Handles the answer to a request or a renewal.
  void OnGrant(const HostId& lender,
               Incarnation incarnation,
               const LendGrantItem& item,
               TimePoint now);
  // Returns the requests to send now: renewals that are due, and requests that
  // were not answered within the resend interval.
  std::vector<Request> TakeDueRequests(TimePoint now);
  // Drops requests that were not answered in time, and moves expired leases to
  // the returns.
  void Expire(TimePoint now);
  // Ends the largest lease of at most `amount`. False if there is none.
  bool ReturnOne(std::int64_t amount);
  // Drops all requests and ends all leases.
  void ReturnAll();
  // Drops leases granted by other processes of `lender` than `incarnation`.
  void DropOtherIncarnations(const HostId& lender, Incarnation incarnation);
  // Returns and clears the leases that this host no longer uses. To be sent to
  // their lenders once no call in flight depends on them.
  std::vector<Return> TakeReturns();

  // Returns whether a new request to this lender is worthwhile: none is
  // pending, and the wait after its last refusal is over.
  bool CanRequestFrom(const HostId& lender, TimePoint now) const;
  std::size_t size() const { return leases_.size(); }

 private:
  struct PendingRequest {
    Request request;
    TimePoint requested_at;
    TimePoint sent_at;
  };
  struct Lease {
    HostId lender;
    Incarnation incarnation = 0;
    std::uint64_t lease = 0;
    std::uint64_t renewal = 0;
    std::int64_t amount = 0;
    Duration duration{};
    Duration longest_call{};
    TimePoint until;
    // When the pending renewal was first requested; null if none is pending.
    std::optional<TimePoint> renewal_requested_at;
    TimePoint sent_at;
  };
  struct Refusal {
    HostId lender;
    TimePoint until;
    // Doubles with each consecutive refusal.
    Duration wait{};
  };

  void RecordRefusal(const HostId& lender, bool lent_some, TimePoint now);
  void End(const Lease& lease) {
    returns_.push_back({lease.lender, lease.lease});
  }

  LimitOptions options_;
  std::vector<PendingRequest> pending_;
  std::vector<Lease> leases_;
  std::vector<Return> returns_;
  std::vector<Refusal> refusals_;
};

}  // namespace damasktack

#endif  // FLEET_LIMIT_BORROWER_H_
