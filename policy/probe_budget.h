#ifndef POLICY_PROBE_BUDGET_H_
#define POLICY_PROBE_BUDGET_H_

#include <cstdint>

#include "core/time.h"

namespace damasktack {

// One host's share of a service's budget of load probes.
//
// In any interval it grants at most rate * interval + 1 probes under any load:
// unspent budget never exceeds one probe. It starts empty, so that hosts that
// restart repeatedly do not send more. A change of rate keeps the accumulated
// budget and adds nothing.
class ProbeBudget {
 public:
  // Sets the rate; `fleet_rate` is in probes a second for all `hosts` together.
  void SetRate(double fleet_rate, std::int64_t hosts, TimePoint now);

  bool HasProbe(TimePoint now);
  // Spends one probe; returns false if there is none.
  bool Take(TimePoint now);

  double probes_per_second() const;

 private:
  void Accumulate(TimePoint now);

  // Integers, so that rounding errors cannot accumulate. `rate_` is in
  // millionths of a probe a second, `accumulated_` in millionths of a probe a
  // second times nanoseconds.
  std::int64_t rate_ = 0;
  std::int64_t accumulated_ = 0;
  TimePoint at_;
};

}  // namespace damasktack

#endif  // POLICY_PROBE_BUDGET_H_
