#ifndef POLICY_CALL_OFFER_H_
#define POLICY_CALL_OFFER_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

#include "contract/contract.h"
#include "core/ids.h"
#include "core/time.h"
#include "policy/call.h"
#include "policy/cold_basis.h"

namespace damasktack {

// A call that needs an endpoint.
struct CallOffer {
  CallToken token = 0;
  CustomerId customer;
  std::int64_t share = 1;
  Urgency urgency = Urgency::kNormal;
  OverloadPolicy overload_policy = OverloadPolicy::kWait;
  // Limit on the customer's calls that wait on this host; 0 means no limit.
  std::int64_t waiting_limit = 256;
  bool idempotent = false;
  // The previous hop is already retrying the call, so this hop does not:
  // retries at every hop would multiply.
  bool is_retry = false;
  // Retry budget of the customer, in percent of its first sends.
  std::int64_t retry_percent = 10;
  // Regions in which the call may run; empty means any region.
  std::vector<RegionId> allowed_regions;
  // Limit on the sends of this call; 0 means that only the service's limit
  // applies.
  int attempt_limit = 0;
  // Time that the caller allowed for the call when it arrived here.
  Duration asked{};
  // Timeout of the call's route as a multiple of its latency objective; 0
  // without a route.
  double timeout_factor = 0;
  // The service objective: an answer after this time is of little use to the
  // caller.
  TimePoint on_time_until;
  TimePoint arrival;
  TimePoint deadline;
};

// Position among the waiting calls of one urgency and customer; the lowest goes
// first.
struct QueueRank {
  // Calls of callers that return after a refusal go first.
  bool is_first_attempt = false;
  // Arrival of the call, or the latest time at which it must start.
  TimePoint at;

  auto operator<=>(const QueueRank&) const = default;
};

// A call in the queue.
struct WaitingCall {
  CallOffer offer;
  // Endpoint of the send that has just failed; avoided while there is another.
  std::optional<EndpointIndex> avoid;
  // Null orders the call by its arrival.
  std::optional<QueueRank> rank = std::nullopt;

  QueueRank QueuedAt() const {
    return rank.value_or(QueueRank{false, offer.arrival});
  }
};

// The data behind a decision on a call, for its log line.
struct DecisionBasis {
  // Expected duration of the call at the best endpoint; zero if nothing was
  // estimated.
  Duration expected{};
  // Age of the report that the estimate used; negative without a report.
  Duration report_age{-1};
  // Set if the call goes to a cold endpoint whose rate of calls is limited.
  std::optional<ColdBasis> cold = std::nullopt;
  // Fraction of the probed endpoints that had a free slot at the usual pace;
  // set if SlackPlacement made the decision.
  std::optional<double> good_share = std::nullopt;
  // Calls a second that all hosts are expected to serve; set if ReturnPacing
  // determined the time after which the caller should return.
  std::optional<double> paced_by = std::nullopt;

  bool operator==(const DecisionBasis&) const = default;
};

// Order to send a waiting call to an endpoint now.
struct Dispatch {
  CallToken token = 0;
  EndpointIndex endpoint = 0;
  DecisionBasis basis{};

  bool operator==(const Dispatch&) const = default;
};

// Order to refuse a waiting call. The call has not been sent since it was last
// queued.
struct Rejection {
  CallToken token = 0;
  Refusal refusal = Refusal::kNone;
  // Time after which a new attempt may succeed; zero stands for the default of
  // the refusal.
  Duration retry_after{};
  DecisionBasis basis{};

  bool operator==(const Rejection&) const = default;
};

// Decisions to carry out after an event.
struct Decisions {
  std::vector<Dispatch> dispatches;
  std::vector<Rejection> rejections;

  void clear() {
    dispatches.clear();
    rejections.clear();
  }
};

}  // namespace damasktack

#endif  // POLICY_CALL_OFFER_H_
