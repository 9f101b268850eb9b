#ifndef POLICY_SLOW_START_H_
#define POLICY_SLOW_START_H_

#include <algorithm>

#include "policy/endpoint_record.h"

namespace damasktack {

inline constexpr Duration kSlowStartTime = std::chrono::seconds(5);
// Share of choices for an endpoint that is new, returning or on trial.
inline constexpr double kInitialShare = 0.1;

// Returns the share of choices in which an endpoint is a candidate at all. A
// new endpoint reports no load and would attract all calls at once from every
// host while its caches are cold. A share that grows over kSlowStartTime
// spreads them without communication between hosts.
inline double CandidateShare(const EndpointRecord& record, TimePoint now) {
  switch (record.state) {
    case EndpointState::kServing:
      return 1;
    case EndpointState::kWarming: {
      const double elapsed =
          static_cast<double>((now - record.state_since).count()) /
          static_cast<double>(kSlowStartTime.count());
      return std::clamp(elapsed, kInitialShare, 1.0);
    }
    case EndpointState::kStarting:
    case EndpointState::kTrial:
      return record.estimate.own_in_flight() > 0 ? 0 : kInitialShare;
    default:
      return 0;
  }
}

}  // namespace damasktack

#endif  // POLICY_SLOW_START_H_
