#include "policy/host_quota.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace damasktack {

namespace {

// By linear hashing: each seat more moves the turns of one seat only, so that
// hosts which differ in the number of seats hardly differ in who has a turn.
std::int64_t HostNumberOfUnit(std::uint64_t drawn, std::int64_t seats) {
  const auto all = std::bit_ceil(static_cast<std::uint64_t>(seats));
  const auto number = static_cast<std::int64_t>(drawn & (all - 1));
  return number < seats ? number
                        : static_cast<std::int64_t>(drawn & (all / 2 - 1));
}

}  // namespace

void HostQuota::Draw(const EndpointId& endpoint,
                     int turns,
                     const HostNumber& seat) {
  own_turns_ = 0;
  if (!seat.IsKnown()) {
    return;
  }
  const auto seed = XXH3_64bits(endpoint.text().data(), endpoint.text().size());
  for (int turn = 0; turn < turns; ++turn) {
    const auto drawn = XXH3_64bits_withSeed(&turn, sizeof(turn), seed);
    own_turns_ += HostNumberOfUnit(drawn, seat.seats) == seat.number ? 1 : 0;
  }
}

bool HostQuota::IsAvailable(TimePoint now) const {
  const auto used = std::ranges::count_if(
      sent_, [now](TimePoint it) { return now - it < kQuotaWindow; });
  return used < own_turns_;
}

void HostQuota::OnSend(TimePoint now) {
  if (own_turns_ == 0) {
    return;
  }
  if (sent_.size() >= static_cast<std::size_t>(own_turns_)) {
    sent_.erase(sent_.begin());
  }
  sent_.push_back(now);
}

}  // namespace damasktack
