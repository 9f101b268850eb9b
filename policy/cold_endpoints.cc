#include "policy/cold_endpoints.h"

#include <xxhash.h>

#include <algorithm>
#include <string>

namespace damasktack {

namespace {

// The part of the rate that hosts share out. Where all of them begin to have
// calls at one moment, those of the windows that have begun and of the next
// ones come within a second.
constexpr double kSharedOut = 0.5;
// The part of the bound that is given out in turns: a turn is counted by two
// hosts where one of them has not heard yet that it lost its seat.
constexpr double kSharedTurns = 0.5;
// Fewer calls than this are none; estimates that fade are no whole numbers.
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

void ColdEndpoints::SetHostNumber(const HostNumber& seat) {
  seat_ = seat;
  AssignQuotas();
}

void ColdEndpoints::AssignQuotas() {
  for (EndpointIndex n = 0; n < ids_.size(); ++n) {
    allowances_[n].turns().Draw(ids_[n], TotalQuota(), seat_);
  }
}

int ColdEndpoints::TotalQuota() const {
  if (rate_ <= 0) {
    return 0;
  }
  const double most = rate_ * options_.overshoot + options_.slack;
  return static_cast<int>(most * kSharedTurns);
}

// What the endpoints of a zone had in their caches is gone when the zone is
// given back, and the list says so a heartbeat later only.
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
    allowance.turns().Draw(spec.id, TotalQuota(), seat_);
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
  return rate_ * kSharedOut / fleet_.Count(now);
}

bool ColdEndpoints::IsAllowed(EndpointIndex index, TimePoint now) const {
  const ColdAllowance& it = allowances_[index];
  return UsesHostQuota() ? it.HasHostQuota(now) : it.Allows(Share(now), now);
}

bool ColdEndpoints::CanAcceptCall(const ColdObservation& look,
                                  TimePoint now) const {
  if (!IsCold(look.index, now)) {
    return true;
  }
  const bool has_room =
      UsesHostQuota() ? look.calls + 1 <= look.slots : look.calls < kIdleCalls;
  return look.is_known && has_room && IsAllowed(look.index, now);
}

// Read late, an answer from before the endpoint became cold would end what the
// list has said since.
void ColdEndpoints::OnColdTime(EndpointIndex index,
                               Duration cold_for,
                               TimePoint asked_at,
                               TimePoint now) {
  ColdAllowance& allowance = allowances_[index];
  TimePoint until = now + cold_for;
  if (asked_at < allowance.told_at()) {
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
  basis.word = it.word();
  basis.source_age = now - it.told_at();
  basis.left = it.cold_until() - now;
  basis.seat = seat_;
  basis.hosts = fleet_.Count(now);
  return basis;
}

bool ColdEndpoints::IsProbeUseful(EndpointIndex index, TimePoint now) const {
  return !IsCold(index, now) || IsAllowed(index, now);
}

}  // namespace damasktack
