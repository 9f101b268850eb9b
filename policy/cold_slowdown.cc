#include "policy/cold_slowdown.h"

#include <algorithm>

namespace damasktack {

namespace {

// Weight of one more execution.
constexpr double kSampleWeight = 1.0 / 8;
// Slower ones wait in a queue or fail; that says nothing of the start.
constexpr double kMostPace = 4;

}  // namespace

void ColdSlowdown::OnExecution(Duration took, Duration usual) {
  if (usual <= Duration::zero()) {
    return;
  }
  const double pace =
      static_cast<double>(took.count()) / static_cast<double>(usual.count());
  value_ += (std::clamp(pace, 1.0, kMostPace) - value_) * kSampleWeight;
}

}  // namespace damasktack
