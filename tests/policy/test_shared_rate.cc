#include "policy/shared_rate.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cstdint>

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr seconds kLength(400);

TEST_CASE("a host that always has calls keeps to its share") {
  const bool ok = rc::check([] {
    const double share = *rc::gen::inRange(1, 500) / 100.0;
    SharedRate rate(*rc::gen::arbitrary<std::uint64_t>());
    int sends = 0;
    for (TimePoint now = kStart; now < kStart + kLength;
         now += milliseconds(10)) {
      if (rate.Allows(share, now)) {
        rate.OnSend(now);
        ++sends;
      }
    }
    const double wanted = share * kLength.count();
    RC_ASSERT(sends <= wanted * 1.25 + 10);
    RC_ASSERT(sends >= wanted * 0.6 - 10);
  });
  CHECK(ok);
}

// Guards against a host that crashes because an endpoint states an extremely
// large limit.
TEST_CASE("an extremely large share does not limit requests") {
  SharedRate rate(7);
  for (const double share : {1e9, 1e12, 1e300}) {
    CHECK(rate.Allows(share, kStart));
    CHECK(rate.NextAllowed(share, kStart, kStart + seconds(1)) == kStart);
  }
}

// A caller that returned before this time would be refused again.
TEST_CASE("the next allowed time is the first one that is allowed") {
  const bool ok = rc::check([] {
    const double share = *rc::gen::inRange(1, 300) / 100.0;
    SharedRate rate(*rc::gen::arbitrary<std::uint64_t>());
    rate.OnSend(kStart - milliseconds(*rc::gen::inRange(0, 1000)));
    const TimePoint latest = kStart + seconds(5);
    const TimePoint next = rate.NextAllowed(share, kStart, latest);
    RC_ASSERT(next == latest || rate.Allows(share, next));
    for (TimePoint now = kStart; now < next; now += milliseconds(1)) {
      RC_ASSERT_FALSE(rate.Allows(share, now));
    }
  });
  CHECK(ok);
}

}  // namespace
}  // namespace damasktack
