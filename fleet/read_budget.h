#ifndef FLEET_READ_BUDGET_H_
#define FLEET_READ_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "core/time.h"

namespace damasktack {

// Limits the platform reads of this host to its share of the rate of the fleet:
// a token bucket that is refilled at fleet_rate / hosts. All hosts together
// stay below the rate of the fleet plus one burst per host, whatever they do at
// the same time. A watch counts as one read, as it does on the platform.
class ReadBudget {
 public:
  // Allows each document to be read twice at the start.
  static constexpr double kBurst = 6;

  explicit ReadBudget(double fleet_rate) : fleet_rate_(fleet_rate) {}

  // Sets the number of hosts in the platform list, effective from `now`.
  void SetHosts(std::size_t hosts, TimePoint now) {
    Refill(now);
    hosts_ = std::max<std::size_t>(hosts, 1);
  }

  // Takes one read from the budget and returns zero, or returns the time until
  // a read is available.
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
