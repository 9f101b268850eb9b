#include "policy/route_times.h"

#include <algorithm>

namespace damasktack {

namespace {

// Relative step towards each sample; steps of fixed size follow the median. The
// first samples count more, so that a factor of 5 is learned within about 16.
constexpr double kStep = 0.03;
constexpr double kFirstStep = 0.5;
// Limit on the remembered routes; beyond it, all are forgotten.
constexpr std::size_t kMaxRoutes = 4096;

}  // namespace

void RouteTimes::Learn(const CustomerId& route, double relative) {
  if (factors_.size() >= kMaxRoutes && !factors_.contains(route)) {
    factors_.clear();
  }
  Factor& it = factors_[route];
  const double step =
      std::max(kStep, kFirstStep / static_cast<double>(++it.samples));
  it.value *= relative > it.value ? 1 + step : 1 - step;
}

double RouteTimes::FactorOf(const CustomerId& route) const {
  const auto it = factors_.find(route);
  return it == factors_.end() ? 1 : it->second.value;
}

}  // namespace damasktack
