#include "proxy/stop_schedule.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr TimePoint kEnd = kStart + milliseconds(5500);

TEST_CASE("without a stop every request is accepted") {
  const StopSchedule schedule;
  const StopSchedule::Connection connection{std::chrono::hours(24), kEnd};
  CHECK(schedule.CanFinish(kStart + std::chrono::hours(24)));
  CHECK(schedule.MayRead(connection, kStart));
  CHECK(schedule.ReadTimeout(connection, kStart) > std::chrono::hours(24));
}

// Guards against a call that is cut off at the end of the stop while its
// endpoint runs it.
TEST_CASE("the longer a route's timeout, the earlier reading ends") {
  const StopSchedule schedule(kEnd);
  const auto may_read = [&](milliseconds timeout, milliseconds at) {
    return schedule.MayRead({timeout, TimePoint::min()}, kStart + at);
  };
  CHECK(may_read(milliseconds(600), milliseconds(4600)));
  CHECK_FALSE(may_read(milliseconds(600), milliseconds(4700)));
  CHECK(may_read(milliseconds(4000), milliseconds(1200)));
  CHECK_FALSE(may_read(milliseconds(4000), milliseconds(1300)));
  CHECK_FALSE(may_read(milliseconds(10'000), milliseconds(0)));
}

// Guards against a request that is read, waits for the ones before it, and is
// then refused because too little time is left.
TEST_CASE("a request that waits for earlier ones begins at their deadline") {
  const StopSchedule schedule(kEnd);
  const StopSchedule::Connection connection{milliseconds(2000),
                                            kStart + milliseconds(3000 + 500)};
  CHECK_FALSE(schedule.MayRead(connection, kStart + milliseconds(1000)));
  CHECK(schedule.MayRead({milliseconds(2000), kStart + milliseconds(3000)},
                         kStart + milliseconds(1000)));
}

// Guards against a connection that is left open until the process ends, and
// against one that is closed while a request on it is in transit.
TEST_CASE("a silent connection is closed in time, but not at once") {
  const StopSchedule schedule(kEnd);
  const auto timeout = [&](milliseconds longest_call, milliseconds at) {
    return schedule.ReadTimeout({longest_call, TimePoint::min()}, kStart + at);
  };
  CHECK(timeout(milliseconds(600), milliseconds(0)) == milliseconds(4650));
  CHECK(timeout(milliseconds(10'000), milliseconds(0)) ==
        StopSchedule::kMinSilence);
  CHECK(timeout(milliseconds(0), milliseconds(5300)) == milliseconds(100));
  CHECK(timeout(milliseconds(0), milliseconds(6000)) == milliseconds(0));
  CHECK(schedule.TimeToClose(kStart) == milliseconds(5400));
}

TEST_CASE("a request that may be read can always be finished") {
  const bool holds = rc::check([] {
    const auto range = [](int max) { return rc::gen::inRange(0, max); };
    const StopSchedule schedule(kEnd);
    const milliseconds timeout(*range(8000));
    const TimePoint begins_by = kStart + milliseconds(*range(6000));
    const TimePoint now = kStart + milliseconds(*range(6000));
    const milliseconds read_time(*range(static_cast<int>(
        StopSchedule::kReadTime / std::chrono::milliseconds(1))));
    if (schedule.MayRead({timeout, begins_by}, now)) {
      const TimePoint begin = std::max(now + read_time, begins_by);
      RC_ASSERT(schedule.CanFinish(begin + timeout));
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace damasktack
