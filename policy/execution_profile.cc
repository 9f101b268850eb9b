#include "policy/execution_profile.h"

#include <algorithm>
#include <cmath>

#include "policy/scaled_time.h"

namespace damasktack {

namespace {

// Relative step towards each sample. With steps of fixed size the estimate
// follows the median; a mean would follow the few executions that take several
// times as long.
constexpr double kStep = 0.03;
// Index of the first quarter of the slots whose slowdown is learned.
constexpr std::size_t kFirstLearnedPart = 2;
// Upper bound on the slowdown of a server. Longer executions change the usual
// time instead, as they do at endpoints with a single slot.
constexpr double kMaxSlowdown = 4;

double StepTowards(double value, double sample) {
  return value * (sample > value ? 1 + kStep : 1 - kStep);
}

}  // namespace

void ExecutionProfile::Guess(Duration usual) {
  usual_ = usual;
}

std::size_t ExecutionProfile::QuarterOf(double fill) {
  const double parts = std::ceil(std::min(fill, 1.0) * kQuarters);
  return static_cast<std::size_t>(std::max(parts, 1.0)) - 1;
}

void ExecutionProfile::OnExecution(double fill, Duration took) {
  if (fill > 1 || !is_known()) {
    return;
  }
  const std::size_t part = QuarterOf(fill);
  const double longer =
      static_cast<double>(took.count()) / static_cast<double>(usual_.count());
  const bool is_out_of_range = slowdown_[part] >= kMaxSlowdown || longer < 1;
  const bool affects_usual_time = part < kFirstLearnedPart || is_out_of_range;
  if (affects_usual_time) {
    usual_ = Scaled(usual_, StepTowards(1, longer / slowdown_[part]));
  }
  if (part >= kFirstLearnedPart) {
    slowdown_[part] =
        std::clamp(StepTowards(slowdown_[part], longer), 1.0, kMaxSlowdown);
  }
}

double ExecutionProfile::Slowdown(double fill) const {
  const auto end =
      slowdown_.begin() + static_cast<std::ptrdiff_t>(QuarterOf(fill)) + 1;
  return *std::max_element(slowdown_.begin(), end);
}

}  // namespace damasktack
