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
// Fewer calls than this are none; estimates that fade are no whole numbers.
constexpr double kIdleCalls = 0.5;

}  // namespace

void ColdEndpoints::SetService(const ServiceSpec& service,
                               std::int64_t hosts,
                               TimePoint now) {
  cold_time_ = service.cold_time;
  rate_ = service.cold_rate;
  fleet_.Set(hosts, service.endpoints.size(), now);
}

// What the endpoints of a zone had in their caches is gone when the zone is
// given back, and the list says so a heartbeat later only.
void ColdEndpoints::OnListed(EndpointIndex index,
                             const EndpointSpec* before,
                             const EndpointSpec& spec,
                             TimePoint now) {
  allowances_.resize(std::max<std::size_t>(allowances_.size(), index + 1));
  ColdAllowance& allowance = allowances_[index];
  if (before == nullptr) {
    const std::string names = host_.text() + spec.id.text();
    allowance = ColdAllowance(XXH3_64bits(names.data(), names.size()));
  }
  allowance.OnCold(ColdWord::kList,
                   std::max(allowance.cold_until(), spec.cold_until), now);
  if (before != nullptr && before->zone_drained && !spec.zone_drained) {
    const TimePoint until =
        std::max<TimePoint>(allowance.cold_until(), now + cold_time_);
    allowance.OnCold(ColdWord::kDrainEnd, until, now);
  }
}

bool ColdEndpoints::IsBoundBySlots(double slots, Duration usual_time) const {
  const double most = slots / std::chrono::duration<double>(usual_time).count();
  return most <= rate_ * options_.overshoot + options_.slack;
}

double ColdEndpoints::Share(TimePoint now) const {
  return rate_ * kSharedOut / fleet_.Count(now);
}

bool ColdEndpoints::MayTakeOne(const ColdLook& look,
                               Duration usual_time,
                               TimePoint now) const {
  if (!IsCold(look.index, now)) {
    return true;
  }
  if (IsBoundBySlots(look.slots, usual_time)) {
    return look.is_known && look.calls + 1 <= look.slots;
  }
  return look.is_known && look.calls < kIdleCalls &&
         allowances_[look.index].Allows(Share(now), now);
}

std::optional<ColdBasis> ColdEndpoints::BasisOf(EndpointIndex index,
                                                TimePoint now) const {
  if (!IsCold(index, now)) {
    return std::nullopt;
  }
  const ColdAllowance& it = allowances_[index];
  ColdBasis basis;
  basis.word = it.word();
  basis.word_age = now - it.told_at();
  basis.left = it.cold_until() - now;
  basis.hosts = fleet_.Count(now);
  return basis;
}

bool ColdEndpoints::IsWorthALook(EndpointIndex index,
                                 double slots,
                                 Duration usual_time,
                                 TimePoint now) const {
  return !IsCold(index, now) || IsBoundBySlots(slots, usual_time) ||
         allowances_[index].Allows(Share(now), now);
}

}  // namespace damasktack
