#ifndef FLEET_READ_BUDGET_H_
#define FLEET_READ_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "core/time.h"

namespace damasktack {

// This host's part of the fleet's reads a second: a token bucket that refills
// at fleet_rate / hosts. The sum over all hosts stays under the fleet's rate
// plus one burst for each host, whatever they do at the same time. A watch
// counts as one read, as the platform counts it.
class ReadBudget {
 public:
  // Enough to read each document once and again at the start.
  static constexpr double kBurst = 6;

  explicit ReadBudget(double fleet_rate) : fleet_rate_(fleet_rate) {}

  // Takes effect from now on; `hosts` is the length of the platform's list.
  void SetHosts(std::size_t hosts, TimePoint now) {
    Refill(now);
    hosts_ = std::max<std::size_t>(hosts, 1);
  }

  // Takes one read, or none: then the result is how long until there is one.
  Duration Take(TimePoint now) {
    Refill(now);
    if (tokens_ >= 1) {
      tokens_ -= 1;
      return Duration::zero();
    }
    const std::chrono::duration<double> wait((1 - tokens_) / rate());
    return std::chrono::ceil<Duration>(wait);
  }

 private:
  double rate() const { return fleet_rate_ / static_cast<double>(hosts_); }

  void Refill(TimePoint now) {
    if (last_ != TimePoint() && now > last_) {
      const std::chrono::duration<double> passed = now - last_;
      tokens_ = std::min(kBurst, tokens_ + passed.count() * rate());
    }
    last_ = std::max(last_, now);
  }

  const double fleet_rate_;
  std::size_t hosts_ = 1;
  double tokens_ = kBurst;
  TimePoint last_;
};

}  // namespace damasktack

#endif  // FLEET_READ_BUDGET_H_
