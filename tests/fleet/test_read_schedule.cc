#include "fleet/read_schedule.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace damasktack {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint() + hours(1);

TEST_CASE("a reader reads continuously, another host rarely") {
  ReadSchedule schedule({}, 1);
  schedule.Start(kStart);
  CHECK(schedule.due() <= kStart + milliseconds(300));
  schedule.Answered(schedule.due());
  CHECK(schedule.due() > kStart + std::chrono::minutes(2));
  schedule.SetReader(true, kStart);
  CHECK(schedule.due() < kStart + seconds(1));
  schedule.Answered(kStart + seconds(1));
  CHECK(schedule.due() == kStart + seconds(1));
}

// The platform is down for an hour and returns. Readers that retry
// simultaneously would hit it with one burst per retry interval.
TEST_CASE("readers spread their retries while the platform is down") {
  constexpr int kReaders = 200;
  const TimePoint end = kStart + hours(1);
  int retries = 0;
  std::vector<TimePoint> returns;
  for (int n = 0; n < kReaders; ++n) {
    ReadSchedule schedule({}, static_cast<std::uint64_t>(n));
    schedule.Start(kStart);
    schedule.SetReader(true, kStart);
    while (schedule.due() < end) {
      schedule.Failed(schedule.due());
      ++retries;
    }
    returns.push_back(schedule.due());
  }
  // One retry per 30 s on average, and a few faster ones at the start.
  CHECK(retries < kReaders * (3600 / 30 + 20));
  std::ranges::sort(returns);
  // At most a tenth of the readers returns within any second.
  for (std::size_t n = kReaders / 10; n < returns.size(); ++n) {
    CHECK(returns[n] - returns[n - kReaders / 10] > seconds(1));
  }
}

TEST_CASE("an answer resets the backoff") {
  ReadSchedule schedule({}, 1);
  schedule.SetReader(true, kStart);
  for (int n = 0; n < 20; ++n) {
    schedule.Failed(kStart);
  }
  CHECK(schedule.due() > kStart + seconds(10));
  schedule.Answered(kStart);
  schedule.Failed(kStart);
  CHECK(schedule.due() < kStart + seconds(1));
}

}  // namespace
}  // namespace damasktack
