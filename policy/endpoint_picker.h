#ifndef POLICY_ENDPOINT_PICKER_H_
#define POLICY_ENDPOINT_PICKER_H_

#include <concepts>
#include <optional>
#include <string_view>

#include "core/random.h"
#include "policy/candidate_view.h"

namespace damasktack {

// Chooses an endpoint for one call, or returns null to let the call wait. Pick
// must not allocate. `kName` identifies the picker in settings, benchmarks and
// tables.
template <typename T>
concept EndpointPicker = requires(T picker,
                                  const CandidateView& view,
                                  Random& random) {
  { T::kName } -> std::convertible_to<std::string_view>;
  { picker.Pick(view, random) } -> std::same_as<std::optional<EndpointIndex>>;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_PICKER_H_
