#ifndef CORE_RANDOM_H_
#define CORE_RANDOM_H_

#include <cstdint>
#include <random>

namespace damasktack {

// Random number generator that callers pass to randomized decisions; tests seed
// it.
using Random = std::mt19937_64;

// Returns a uniformly distributed number in [0, bound) without a division.
// `bound` must be above 0.
inline std::uint32_t UniformBelow(Random& random, std::uint32_t bound) {
  const std::uint64_t low_half = random() & 0xffffffffU;
  return static_cast<std::uint32_t>((low_half * bound) >> 32);
}

}  // namespace damasktack

#endif  // CORE_RANDOM_H_
