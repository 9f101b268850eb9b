#ifndef POLICY_CALL_OFFER_H_
#define POLICY_CALL_OFFER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "contract/contract.h"
#include "core/ids.h"
#include "core/time.h"
#include "policy/call.h"
#include "policy/cold_basis.h"

namespace damasktack {

// One call that asks for an endpoint.
struct CallOffer {
  CallToken token = 0;
  CustomerId customer;
  std::int64_t share = 1;
  Urgency urgency = Urgency::kNormal;
  OverloadPolicy overload_policy = OverloadPolicy::kWait;
  // Calls of the customer that may wait here; 0 means "no bound".
  std::int64_t waiting_limit = 256;
  bool idempotent = false;
  // The hop before this one is already sending the call again, so this hop
  // does not: repeats at every depth would multiply.
  bool is_repeat = false;
  // Repeated sends allowed to the customer, percent of first sends.
  std::int64_t retry_percent = 10;
  // Where it may be worked on; anywhere if there is none.
  std::vector<RegionId> allowed_regions;
  // Sends of this call at most; 0 where the service's own bound holds alone.
  int attempt_limit = 0;
  // How long the caller allowed the call to take when it arrived here.
  Duration asked{};
  // An answer later than this is worth little to the caller.
  TimePoint on_time_until;
  TimePoint arrival;
  TimePoint deadline;
};

// A call among the waiting.
struct WaitingCall {
  CallOffer offer;
  // The endpoint of the send that has just failed.
  std::optional<EndpointIndex> avoid;
};

// What a decision on a call rested on, for its line in the log.
struct DecisionBasis {
  // How long the call was expected to take at the best endpoint; zero where
  // nothing was estimated.
  Duration expected{};
  // How old the report was that said so; negative without any.
  Duration report_age{-1};
  // Set where the call goes to a cold endpoint that bears few.
  std::optional<ColdBasis> cold = std::nullopt;

  bool operator==(const DecisionBasis&) const = default;
};

// The order to send a waiting call to an endpoint now.
struct Dispatch {
  CallToken token = 0;
  EndpointIndex endpoint = 0;
  DecisionBasis basis{};

  bool operator==(const Dispatch&) const = default;
};

// A waiting call that is refused now; it was not sent since it last waited.
struct Rejection {
  CallToken token = 0;
  Refusal refusal = Refusal::kNone;
  // When a new try has a chance; zero where only what is usual is known.
  Duration retry_after{};
  DecisionBasis basis{};

  bool operator==(const Rejection&) const = default;
};

// The decisions ready for execution after an event.
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
