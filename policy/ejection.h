#ifndef POLICY_EJECTION_H_
#define POLICY_EJECTION_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "policy/endpoint_health.h"

namespace damasktack {

// Returns why an endpoint is an outlier; empty if it is none. It is compared
// with the other endpoints, so that none is an outlier while the whole service
// is degraded.
std::string_view OutlierReason(const HealthComparison& health);

// Returns how many of `live` endpoints may be ejected at the same time. The
// limit keeps a service usable in case of a fault in this host's own network,
// or of requests that fail at every endpoint but not at the same moment.
std::size_t MaxEjected(std::size_t live);

// Returns how long an endpoint stays ejected after `ejections` ejections in a
// row.
Duration EjectionTime(std::int32_t ejections);

// Consecutive answers that complete a trial.
inline constexpr std::int32_t kAnswersToPassTrial = 3;

}  // namespace damasktack

#endif  // POLICY_EJECTION_H_
