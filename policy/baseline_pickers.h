#ifndef POLICY_BASELINE_PICKERS_H_
#define POLICY_BASELINE_PICKERS_H_

#include <cstdint>

#include "policy/endpoint_picker.h"

namespace damasktack {

// Pickers that serve as baselines for the production picker. The first four
// dispatch at once under any load, as common load balancers do.

class RandomPicker {
 public:
  static constexpr std::string_view kName = "random";
  std::optional<EndpointIndex> Pick(const CandidateView& view, Random& random);
};

class RoundRobinPicker {
 public:
  static constexpr std::string_view kName = "round-robin";
  std::optional<EndpointIndex> Pick(const CandidateView& view, Random& random);

 private:
  std::uint32_t next_ = 0;
};

// Picks the endpoint with the fewest calls in flight from this host; breaks
// ties at random.
class LeastOwnPicker {
 public:
  static constexpr std::string_view kName = "least-own";
  std::optional<EndpointIndex> Pick(const CandidateView& view, Random& random);
};

// Draws two endpoints at random and picks the one with fewer calls, counted by
// its last report, of any age, and this host's own calls.
class TwoChoicesPicker {
 public:
  static constexpr std::string_view kName = "two-choices";
  std::optional<EndpointIndex> Pick(const CandidateView& view, Random& random);
};

// Evaluates every endpoint with the same cost as the production picker and
// takes the cheapest that has room. Deliberately simple: tests compare the
// production picker with it.
class NaivePicker {
 public:
  static constexpr std::string_view kName = "naive";
  std::optional<EndpointIndex> Pick(const CandidateView& view, Random& random);
};

}  // namespace damasktack

#endif  // POLICY_BASELINE_PICKERS_H_
