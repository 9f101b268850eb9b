#include "policy/cold_endpoints.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace damasktack {

namespace {

// Fraction of the rate that is divided among the hosts. If all hosts start to
// have calls at the same moment, the calls of the windows in progress and of
// the next windows fall within one second.
constexpr double kAllocatedFraction = 0.5;
// Fraction of the limit that is handed out as quota: two hosts use the same
// unit while one of them has not learned yet that it lost its host number.
constexpr double kQuotaFraction = 0.5;
// Calls below which an endpoint counts as idle; decayed estimates are not whole
// numbers.
constexpr double kIdleCalls = 0.5;

}  // namespace

void ColdEndpoints::SetService(const ServiceSpec& service,
                               std::int64_t hosts,
                               TimePoint now) {
  cold_time_ = service.cold_time;
  fleet_.Set(hosts, service.endpoints.size(), now);
  if (rate_ != service.cold_rate) {
    rate_ = service.cold_rate;
    AssignQuotas();
  }
}

void ColdEndpoints::SetHostNumber(const HostNumber& host_number) {
  host_number_ = host_number;
  AssignQuotas();
}

void ColdEndpoints::AssignQuotas() {
  for (EndpointIndex n = 0; n < ids_.size(); ++n) {
    allowances_[n].quota().Draw(ids_[n], TotalQuota(), host_number_);
  }
}

int ColdEndpoints::TotalQuota() const {
  if (rate_ <= 0) {
    return 0;
  }
  const double most = rate_ * options_.overshoot + options_.slack;
  return static_cast<int>(most * kQuotaFraction);
}

// The endpoints of a zone have lost their caches when its drain ends, but the
// list states this only one heartbeat later.
void ColdEndpoints::OnListed(EndpointIndex index,
                             const EndpointSpec* before,
                             const EndpointSpec& spec,
                             TimePoint now) {
  allowances_.resize(std::max<std::size_t>(allowances_.size(), index + 1));
  ids_.resize(allowances_.size());
  ColdAllowance& allowance = allowances_[index];
  if (before == nullptr) {
    const std::string names = host_.text() + spec.id.text();
    allowance = ColdAllowance(XXH3_64bits(names.data(), names.size()));
    ids_[index] = spec.id;
    allowance.quota().Draw(spec.id, TotalQuota(), host_number_);
  }
  allowance.OnCold(ColdSource::kList,
                   std::max(allowance.cold_until(), spec.cold_until), now);
  if (before != nullptr && before->zone_drained && !spec.zone_drained) {
    const TimePoint until =
        std::max<TimePoint>(allowance.cold_until(), now + cold_time_);
    allowance.OnCold(ColdSource::kDrainEnd, until, now);
  }
}

double ColdEndpoints::Share(TimePoint now) const {
  return rate_ * kAllocatedFraction / fleet_.Count(now);
}

bool ColdEndpoints::IsAllowed(EndpointIndex index, TimePoint now) const {
  const ColdAllowance& it = allowances_[index];
  return UsesHostQuota() ? it.HasHostQuota(now) : it.Allows(Share(now), now);
}

bool ColdEndpoints::CanAcceptCall(const ColdObservation& observation,
                                  TimePoint now) const {
  if (!IsCold(observation.index, now)) {
    return true;
  }
  const bool has_room = UsesHostQuota()
                            ? observation.calls + 1 <= observation.slots
                            : observation.calls < kIdleCalls;
  return observation.is_known && has_room && IsAllowed(observation.index, now);
}

// An answer requested before the latest statement cannot end it: read late, it
// would make the endpoint look warm although it has become cold since.
void ColdEndpoints::OnColdTime(EndpointIndex index,
                               Duration cold_for,
                               TimePoint asked_at,
                               TimePoint now) {
  ColdAllowance& allowance = allowances_[index];
  TimePoint until = now + cold_for;
  if (asked_at < allowance.stated_at()) {
    until = std::max(until, allowance.cold_until());
  }
  allowance.OnCold(ColdSource::kProbe, until, now);
}

std::optional<ColdBasis> ColdEndpoints::BasisOf(EndpointIndex index,
                                                TimePoint now) const {
  if (!IsCold(index, now)) {
    return std::nullopt;
  }
  const ColdAllowance& it = allowances_[index];
  ColdBasis basis;
  basis.word = it.source();
  basis.source_age = now - it.stated_at();
  basis.left = it.cold_until() - now;
  basis.seat = host_number_;
  basis.hosts = fleet_.Count(now);
  return basis;
}

bool ColdEndpoints::IsProbeUseful(EndpointIndex index, TimePoint now) const {
  return !IsCold(index, now) || IsAllowed(index, now);
}

}  // namespace damasktack
