#ifndef POLICY_EJECTION_H_
#define POLICY_EJECTION_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "core/time.h"
#include "policy/endpoint_health.h"

namespace damasktack {

// Why an endpoint stands out for the worse; empty where it does not. It is
// judged against the others, so that nothing stands out in a bad hour of the
// whole service.
std::string_view OutlierReason(const HealthComparison& health);

// How many of `live` endpoints may be out at once. The bound keeps the
// service from being emptied by a fault in this host's own network, or by
// callers whose requests fail everywhere but not at the same moment.
std::size_t MaxEjected(std::size_t live);

// How long an endpoint stays out that was ejected `ejections` times running.
Duration EjectionTime(std::int32_t ejections);

// Answers in a row that end a trial.
inline constexpr std::int32_t kTrialAnswers = 3;

}  // namespace damasktack

#endif  // POLICY_EJECTION_H_
