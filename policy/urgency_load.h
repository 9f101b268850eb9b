#ifndef POLICY_URGENCY_LOAD_H_
#define POLICY_URGENCY_LOAD_H_

#include <array>
#include <cstddef>
#include <numeric>

#include "contract/contract.h"

namespace damasktack {

// Calls per second, by urgency.
using UrgencyRates = std::array<double, kUrgencyCount>;

inline double SumOf(const UrgencyRates& rates) {
  return std::accumulate(rates.begin(), rates.end(), 0.0);
}

// The load of one service on one or several hosts.
struct UrgencyLoad {
  UrgencyRates offered{};
  // Answered on time.
  UrgencyRates served{};
  // Refused by the balancer or answered late because no slot was free.
  UrgencyRates missed{};

  void Add(const UrgencyLoad& other, double weight) {
    for (std::size_t n = 0; n < kUrgencyCount; ++n) {
      offered[n] += weight * other.offered[n];
      served[n] += weight * other.served[n];
      missed[n] += weight * other.missed[n];
    }
  }

  bool operator==(const UrgencyLoad&) const = default;
};

// What peers state about one service.
struct PeerLoad {
  // The sum over the peers, each weighted by the age of its statement.
  UrgencyLoad total;
  // The sum of these weights; 0 without a statement.
  double hosts = 0;
  // Whether any of the peers is itself short of slots.
  bool is_short = false;

  bool operator==(const PeerLoad&) const = default;
};

}  // namespace damasktack

#endif  // POLICY_URGENCY_LOAD_H_
