#include "policy/host_quota.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace damasktack {

namespace {

// Uses linear hashing: an additional host number takes units from only one
// other number, so that hosts that disagree on the count of numbers hardly
// disagree on the assignment.
std::int64_t HostNumberOfUnit(std::uint64_t drawn, std::int64_t count) {
  const auto all = std::bit_ceil(static_cast<std::uint64_t>(count));
  const auto number = static_cast<std::int64_t>(drawn & (all - 1));
  return number < count ? number
                        : static_cast<std::int64_t>(drawn & (all / 2 - 1));
}

}  // namespace

void HostQuota::Draw(const EndpointId& endpoint,
                     int units,
                     const HostNumber& host_number) {
  own_units_ = 0;
  if (!host_number.IsKnown()) {
    return;
  }
  const auto seed = XXH3_64bits(endpoint.text().data(), endpoint.text().size());
  for (int unit = 0; unit < units; ++unit) {
    const auto drawn = XXH3_64bits_withSeed(&unit, sizeof(unit), seed);
    own_units_ +=
        HostNumberOfUnit(drawn, host_number.number_count) == host_number.number
            ? 1
            : 0;
  }
}

bool HostQuota::IsAvailable(TimePoint now) const {
  const auto used = std::ranges::count_if(
      sent_, [now](TimePoint it) { return now - it < kQuotaWindow; });
  return used < own_units_;
}

void HostQuota::OnSend(TimePoint now) {
  if (own_units_ == 0) {
    return;
  }
  if (sent_.size() >= static_cast<std::size_t>(own_units_)) {
    sent_.erase(sent_.begin());
  }
  sent_.push_back(now);
}

}  // namespace damasktack
