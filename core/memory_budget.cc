#include "core/memory_budget.h"

namespace damasktack {

namespace {

constexpr std::size_t kMaxSmallRequestBytes = 8U << 10U;
constexpr std::size_t kMaxSmallAnswerBytes = 64U << 10U;
constexpr std::size_t kMaxMediumBytes = 1U << 20U;

}  // namespace

std::size_t MemoryBudget::Ceiling(Source source,
                                  std::size_t bytes,
                                  std::size_t limit) {
  const std::size_t max_small_bytes =
      source == Source::kRequest ? kMaxSmallRequestBytes : kMaxSmallAnswerBytes;
  if (bytes <= max_small_bytes) {
    return limit;
  }
  const std::size_t eighth = limit / 8;
  if (bytes <= kMaxMediumBytes || source == Source::kAnswer) {
    return limit - eighth;
  }
  return limit - 2 * eighth;
}

bool MemoryBudget::TryAdd(Source source, std::size_t held, std::size_t bytes) {
  const std::size_t ceiling = Ceiling(source, held + bytes, limit_);
  std::size_t used = used_;
  do {
    if (bytes > ceiling || used > ceiling - bytes) {
      ++refusals_;
      return false;
    }
  } while (!used_.compare_exchange_weak(used, used + bytes));
  Raise(peak_, used + bytes);
  Raise(recent_peak_, used + bytes);
  return true;
}

void MemoryBudget::Raise(std::atomic<std::size_t>& peak, std::size_t used) {
  std::size_t before = peak;
  while (used > before && !peak.compare_exchange_weak(before, used)) {
  }
}

}  // namespace damasktack
