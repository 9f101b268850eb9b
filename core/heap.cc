#include "core/heap.h"

#include <malloc.h>

#include <algorithm>

namespace damasktack {

namespace {

constexpr int kMinLargeBlockBytes = 128 << 10;
constexpr std::size_t kMinTrimBytes = 4U << 20U;

}  // namespace

void ReturnLargeBlocksWhenFreed() {
  // A fixed threshold; the allocator would otherwise raise it to the size of
  // the largest block that was freed.
  mallopt(M_MMAP_THRESHOLD, kMinLargeBlockBytes);
}

void ReturnFreeMemory() {
  malloc_trim(0);
}

bool HeapTrimSchedule::ShouldTrim(std::size_t held, std::size_t peak) {
  peak_ = std::max(peak_, peak);
  if (peak_ < kMinTrimBytes || held > peak_ / 2) {
    return false;
  }
  peak_ = held;
  return true;
}

}  // namespace damasktack
