#include "policy/target_choice.h"

namespace damasktack {

const ServiceId& ChooseTarget(const Route& route, Random& random) {
  std::int64_t sum = 0;
  for (const RouteTarget& it : route.targets) {
    sum += it.weight;
  }
  std::int64_t left = UniformBelow(random, static_cast<std::uint32_t>(sum));
  for (const RouteTarget& it : route.targets) {
    if (left < it.weight) {
      return it.service;
    }
    left -= it.weight;
  }
  return route.targets.back().service;
}

}  // namespace damasktack
