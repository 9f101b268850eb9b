#ifndef POLICY_RETURN_PACING_H_
#define POLICY_RETURN_PACING_H_

#include <array>
#include <cstdint>
#include <optional>

#include "contract/contract.h"
#include "core/random.h"
#include "core/time.h"
#include "policy/decay.h"

namespace damasktack {

// A refused call whose caller may try again.
struct RefusedCall {
  Urgency urgency = Urgency::kNormal;
  // Delay before which the call has no chance.
  Duration earliest{};
  // Time left to the caller; callers wait for a third of it at most.
  Duration time_left{};
  // Delay after which the call could no longer be on time; zero or less if it
  // cannot be on time at all.
  Duration useful_for{};
};

// Decides when the caller of a refused call should try again.
//
// Made for overloads that last longer than a caller's retry: if all refused
// callers return at once, most are refused again and have lost their time. The
// returns are spaced so that those of any 100 ms fit the capacity of all hosts
// in 100 ms. A refused caller may return at any host, so each host uses its
// part of the capacity for the calls that it refuses itself; no messages are
// needed.
class ReturnPacing {
 public:
  void SetHosts(std::int64_t hosts);
  // Sets the calls a second that all hosts together are able to serve, as known
  // from other hosts; null if it is not known. Without it, this host's own view
  // times the number of hosts is used.
  void SetFleetCapacity(std::optional<double> calls_per_second) {
    fleet_capacity_ = calls_per_second;
  }
  // Records that a call of this host was answered.
  void OnAnswered(TimePoint now) { answered_.Add(1, now); }

  // Returns the calls a second that all hosts together are expected to serve;
  // null without enough recent answers.
  std::optional<double> FleetCapacity(TimePoint now) const;

  // Returns the delay after which the caller should return, and reserves
  // capacity for it.
  Duration Delay(const RefusedCall& call, TimePoint now, Random& random);

  // Number of returns that were delayed beyond their earliest time.
  std::uint64_t paced() const { return paced_; }
  // Number of returns for which no capacity was left while they were useful.
  std::uint64_t over_capacity() const { return over_capacity_; }

 private:
  // Time in which a view of the capacity loses its weight.
  static constexpr Duration kMemory = std::chrono::seconds(1);

  std::int64_t hosts_ = 1;
  std::optional<double> fleet_capacity_;
  DecayingSum answered_{kMemory};
  // By urgency, the first time at which capacity is left for another return.
  std::array<TimePoint, kUrgencyCount> next_return_{};
  std::uint64_t paced_ = 0;
  std::uint64_t over_capacity_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_RETURN_PACING_H_
