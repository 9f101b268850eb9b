#include "policy/execution_profile.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr double kClose = 0.1;

double InMs(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// Two of three calls take 60 ms, the third takes 102 ms.
void ServeAround(ExecutionProfile& profile, int rounds) {
  for (int n = 0; n < rounds; ++n) {
    const double noise = n % 2 == 0 ? 0.8 : 1.2;
    for (const int calls : {1, 2, 3}) {
      const double ms = (calls == 3 ? 102 : 60) * noise;
      profile.OnExecution(calls / 3.0,
                          std::chrono::duration_cast<Duration>(
                              std::chrono::duration<double, std::milli>(ms)));
    }
  }
}

TEST_CASE("the usual time and the slowdown of a full endpoint are learned") {
  ExecutionProfile profile;
  CHECK(!profile.is_known());
  profile.Guess(milliseconds(133));
  ServeAround(profile, 300);
  CHECK(InMs(profile.usual()) == doctest::Approx(60).epsilon(0.25));
  CHECK(profile.Slowdown(1.0 / 3) == 1);
  CHECK(profile.Slowdown(1) == doctest::Approx(1.7).epsilon(0.25));
}

TEST_CASE("the slowdown does not decrease with the slots in use") {
  ExecutionProfile profile;
  profile.Guess(milliseconds(60));
  for (int n = 0; n < 200; ++n) {
    profile.OnExecution(0.7, milliseconds(150));
    profile.OnExecution(1.0, milliseconds(90));
  }
  CHECK(profile.Slowdown(0.7) > 2);
  CHECK(profile.Slowdown(1.0) >= profile.Slowdown(0.7));
}

// With a single slot per endpoint, none is hardly used, and the usual time must
// cover the whole execution.
TEST_CASE("the execution time is correct with one slot per endpoint") {
  ExecutionProfile profile;
  profile.Guess(milliseconds(30));
  for (int n = 0; n < 400; ++n) {
    profile.OnExecution(1.0, milliseconds(n % 2 == 0 ? 190 : 210));
  }
  const double whole = InMs(profile.usual()) * profile.Slowdown(1);
  CHECK(whole == doctest::Approx(200).epsilon(kClose));
}

TEST_CASE("calls that waited in a queue are ignored") {
  ExecutionProfile profile;
  profile.Guess(milliseconds(60));
  profile.OnExecution(1.4, milliseconds(500));
  CHECK(profile.usual() == milliseconds(60));
  CHECK(profile.Slowdown(1) == doctest::Approx(1.15));
}

}  // namespace
}  // namespace damasktack
