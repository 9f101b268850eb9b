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

TEST_CASE("a reader reads on at once, another host rarely") {
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

// The platform is down for an hour and returns. Readers that all came back in
// the same moment would meet it with one burst a retry interval.
TEST_CASE("readers spread their tries while the platform is down") {
  constexpr int kReaders = 200;
  const TimePoint end = kStart + hours(1);
  int tries = 0;
  std::vector<TimePoint> returns;
  for (int n = 0; n < kReaders; ++n) {
    ReadSchedule schedule({}, static_cast<std::uint64_t>(n));
    schedule.Start(kStart);
    schedule.SetReader(true, kStart);
    while (schedule.due() < end) {
      schedule.Failed(schedule.due());
      ++tries;
    }
    returns.push_back(schedule.due());
  }
  // Once in 30 s on average, and a few quick ones at the start.
  CHECK(tries < kReaders * (3600 / 30 + 20));
  std::ranges::sort(returns);
  // In no second of the return more than a tenth of them comes.
  for (std::size_t n = kReaders / 10; n < returns.size(); ++n) {
    CHECK(returns[n] - returns[n - kReaders / 10] > seconds(1));
  }
}

TEST_CASE("an answer ends the backoff") {
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
