#include "policy/picker_registry.h"

namespace damasktack {

namespace {

// Calls `visit` with a new picker of each type in the registry.
template <typename Visit, EndpointPicker... Pickers>
void ForEach(const std::variant<Pickers...>* /*registry*/, Visit visit) {
  (visit(Pickers()), ...);
}

template <typename Visit>
void ForEachPicker(Visit visit) {
  ForEach(static_cast<const PickerVariant*>(nullptr), visit);
}

}  // namespace

std::vector<std::string_view> PickerNames() {
  std::vector<std::string_view> names;
  ForEachPicker([&](const auto& picker) { names.push_back(picker.kName); });
  return names;
}

std::optional<PickerVariant> MakePicker(std::string_view name) {
  std::optional<PickerVariant> made;
  ForEachPicker([&](const auto& picker) {
    if (picker.kName == name) {
      made = picker;
    }
  });
  return made;
}

}  // namespace damasktack
