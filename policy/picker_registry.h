#ifndef POLICY_PICKER_REGISTRY_H_
#define POLICY_PICKER_REGISTRY_H_

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "policy/baseline_pickers.h"
#include "policy/sampling_picker.h"

namespace damasktack {

// All pickers. To add a picker, list it here.
using PickerVariant = std::variant<SamplingPicker,
                                   NaivePicker,
                                   RandomPicker,
                                   RoundRobinPicker,
                                   LeastOwnPicker,
                                   TwoChoicesPicker>;

// The picker used in production; the others are for comparison.
using ChosenPicker = SamplingPicker;

// Returns the names of all pickers in the order of the registry.
std::vector<std::string_view> PickerNames();
// Returns a new picker, or null if no picker has the name.
std::optional<PickerVariant> MakePicker(std::string_view name);

}  // namespace damasktack

#endif  // POLICY_PICKER_REGISTRY_H_
