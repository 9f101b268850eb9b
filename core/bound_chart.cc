#include "core/bound_chart.h"

namespace damasktack::detail {

leaf::result<void> CheckSameNames(std::span<const std::string_view> in_code,
                                  std::span<const std::string> in_chart,
                                  std::string_view what,
                                  std::string_view chart) {
  const std::string where = "chart " + std::string(chart);
  for (const std::string_view name : in_code) {
    if (std::ranges::find(in_chart, name) == in_chart.end()) {
      return Fail(ErrorKind::kInvalidChart, where,
                  std::string(what) + " \"" + std::string(name) +
                      "\" in the code alone",
                  "add it to the chart or remove it from the enum");
    }
  }
  for (const std::string& name : in_chart) {
    if (std::ranges::find(in_code, name) == in_code.end()) {
      return Fail(ErrorKind::kInvalidChart, where,
                  std::string(what) + " \"" + name + "\" in the chart alone",
                  "add it to the enum or remove it from the chart");
    }
  }
  return {};
}

}  // namespace damasktack::detail
