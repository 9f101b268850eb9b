#include "policy/probe_budget.h"

#include <algorithm>
#include <cmath>

namespace damasktack {

namespace {

constexpr double kRateUnits = 1e6;
constexpr std::int64_t kOneProbe = 1'000'000 * std::int64_t{1'000'000'000};
// Upper bound on the rate, above any practical budget; keeps the products
// within 64 bits.
constexpr double kMaxRate = 1e6;

}  // namespace

void ProbeBudget::SetRate(double fleet_rate,
                          std::int64_t hosts,
                          TimePoint now) {
  Accumulate(now);
  const double own = std::max(fleet_rate, 0.0) /
                     static_cast<double>(std::max<std::int64_t>(hosts, 1));
  // Rounded down, so that the shares of all hosts stay within the total.
  rate_ = static_cast<std::int64_t>(
      std::floor(std::min(own, kMaxRate) * kRateUnits));
}

void ProbeBudget::Accumulate(TimePoint now) {
  // A time before the last one adds nothing, so that no interval counts twice.
  const std::int64_t elapsed =
      std::max<std::int64_t>((Duration(now - at_)).count(), 0);
  at_ = std::max(at_, now);
  if (rate_ == 0) {
    return;
  }
  const std::int64_t time_to_full = (kOneProbe - accumulated_) / rate_ + 1;
  accumulated_ = elapsed >= time_to_full
                     ? kOneProbe
                     : std::min(kOneProbe, accumulated_ + elapsed * rate_);
}

bool ProbeBudget::HasProbe(TimePoint now) {
  Accumulate(now);
  return accumulated_ >= kOneProbe;
}

bool ProbeBudget::Take(TimePoint now) {
  if (!HasProbe(now)) {
    return false;
  }
  accumulated_ = 0;
  return true;
}

double ProbeBudget::probes_per_second() const {
  return static_cast<double>(rate_) / kRateUnits;
}

}  // namespace damasktack
