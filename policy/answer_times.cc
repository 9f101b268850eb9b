#include "policy/answer_times.h"

#include <algorithm>

namespace damasktack {

namespace {

constexpr double kMedian = 0.5;
constexpr double kUnusual = 0.95;

}  // namespace

std::optional<UsualTimes> AnswerTimes::Samples::Times() const {
  const std::size_t n = std::min(count, kSamples);
  if (n < kMinSamples) {
    return std::nullopt;
  }
  std::array<Duration, kSamples> sorted = times;
  const auto at = [&](double fraction) {
    const auto rank =
        static_cast<std::size_t>(fraction * static_cast<double>(n));
    const auto it = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(sorted.begin(), it,
                     sorted.begin() + static_cast<std::ptrdiff_t>(n));
    return *it;
  };
  return UsualTimes{at(kMedian), at(kUnusual)};
}

void AnswerTimes::OnAnswer(const CustomerId& route, Duration took) {
  all_.Add(took);
  const auto it = routes_.find(route);
  if (it != routes_.end()) {
    it->second.Add(took);
    return;
  }
  // Bounds memory. The routes that are still in use are learned again.
  if (routes_.size() >= kMaxRoutes) {
    routes_.clear();
  }
  routes_[route].Add(took);
}

std::optional<UsualTimes> AnswerTimes::Of(const CustomerId& route) const {
  const auto it = routes_.find(route);
  const std::optional<UsualTimes> own =
      it == routes_.end() ? std::nullopt : it->second.Times();
  return own ? own : all_.Times();
}

}  // namespace damasktack
