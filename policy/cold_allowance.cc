#include "policy/cold_allowance.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "policy/scaled_time.h"

namespace damasktack {

bool ColdAllowance::Allows(double share, TimePoint now) const {
  if (!IsCold(now)) {
    return true;
  }
  // A part of several calls has its window in as many pieces.
  const double pieces = std::max(std::ceil(share), 1.0);
  const Duration piece = Scaled(kWindow, 1 / pieces);
  return now - last_send_ >= piece && IsDrawn(share / pieces, piece, now);
}

bool ColdAllowance::IsDrawn(double part, Duration piece, TimePoint now) const {
  const auto phase = static_cast<Duration::rep>(
      seed_ % static_cast<std::uint64_t>(kWindow.count()));
  const auto number =
      (now.time_since_epoch() + Duration(phase)).count() / piece.count();
  const std::uint64_t drawn =
      XXH3_64bits_withSeed(&number, sizeof(number), seed_);
  constexpr auto kWhole =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  return static_cast<double>(drawn) / kWhole < part;
}

}  // namespace damasktack
