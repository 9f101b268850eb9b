#include <doctest/doctest.h>

#include "core/heap.h"

namespace damasktack {
namespace {

constexpr std::size_t kMebibyte = 1U << 20U;

TEST_CASE("the heap is trimmed once after much memory has been freed") {
  HeapTrimSchedule schedule;
  CHECK(!schedule.ShouldTrim(kMebibyte, kMebibyte));
  CHECK(!schedule.ShouldTrim(40 * kMebibyte, 60 * kMebibyte));
  CHECK(schedule.ShouldTrim(20 * kMebibyte, 40 * kMebibyte));
  CHECK(!schedule.ShouldTrim(20 * kMebibyte, 20 * kMebibyte));
  CHECK(schedule.ShouldTrim(kMebibyte, 20 * kMebibyte));
}

// Guards against a trim after each small message.
TEST_CASE("little memory is not worth a trim") {
  HeapTrimSchedule schedule;
  CHECK(!schedule.ShouldTrim(0, kMebibyte));
  CHECK(!schedule.ShouldTrim(0, 3 * kMebibyte));
}

// A burst between two calls is seen by its peak.
TEST_CASE("a burst that has ended is followed by a trim") {
  HeapTrimSchedule schedule;
  CHECK(schedule.ShouldTrim(0, 60 * kMebibyte));
  CHECK(!schedule.ShouldTrim(0, 0));
}

}  // namespace
}  // namespace damasktack
