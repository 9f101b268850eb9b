#include "policy/cold_slowdown.h"

#include <algorithm>

namespace damasktack {

namespace {

// Weight of a new execution in the moving average.
constexpr double kSampleWeight = 1.0 / 8;
// Upper bound on the slowdown of one execution. Beyond it the call waited in a
// queue or failed, which is unrelated to the start.
constexpr double kMaxSlowdown = 4;

}  // namespace

void ColdSlowdown::OnExecution(Duration took, Duration usual) {
  if (usual <= Duration::zero()) {
    return;
  }
  const double slowdown =
      static_cast<double>(took.count()) / static_cast<double>(usual.count());
  value_ += (std::clamp(slowdown, 1.0, kMaxSlowdown) - value_) * kSampleWeight;
}

}  // namespace damasktack
