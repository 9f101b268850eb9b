#ifndef POLICY_SLOW_START_H_
#define POLICY_SLOW_START_H_

#include <algorithm>

#include "policy/endpoint_record.h"

namespace damasktack {

inline constexpr Duration kWarmingTime = std::chrono::seconds(5);
// Share of choices for an endpoint that is new, returning or on trial.
inline constexpr double kFirstShare = 0.1;

// Returns the share of choices in which an endpoint is a candidate at all. A
// new endpoint reports no load and would attract all calls at once from every
// host while its caches are cold. A share that grows over kWarmingTime spreads
// them without communication between hosts.
inline double CandidateShare(const EndpointRecord& record, TimePoint now) {
  switch (record.state) {
    case EndpointState::kServing:
      return 1;
    case EndpointState::kWarming: {
      const double passed =
          static_cast<double>((now - record.state_since).count()) /
          static_cast<double>(kWarmingTime.count());
      return std::clamp(passed, kFirstShare, 1.0);
    }
    case EndpointState::kStarting:
    case EndpointState::kTrial:
      return record.estimate.own_in_flight() > 0 ? 0 : kFirstShare;
    default:
      return 0;
  }
}

}  // namespace damasktack

#endif  // POLICY_SLOW_START_H_
