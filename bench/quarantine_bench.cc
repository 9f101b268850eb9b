// Measures the time that the quarantine adds to each request while the tracker
// holds crashes.
//   cmake --build build --target quarantine_bench &&
//   build/bench/quarantine_bench

#include <benchmark/benchmark.h>

#include <string>

#include "policy/crash_tracker.h"

namespace damasktack {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::uint64_t kSuspectsPerCrash = 6;

CrashTracker MakeTracker(std::int64_t crashes, TimePoint now) {
  CrashTracker tracker({}, kSeed);
  std::uint64_t request = 0;
  for (std::int64_t n = 0; n < crashes; ++n) {
    const EndpointProcess endpoint{EndpointId("e" + std::to_string(n)), {}};
    for (std::uint64_t it = 0; it < kSuspectsPerCrash; ++it) {
      tracker.Add({RequestFingerprint{++request}, endpoint, now}, now);
    }
  }
  return tracker;
}

// Judges and clears a request that is not a suspect of any crash.
void BM_Innocent(benchmark::State& state) {
  const TimePoint now = TimePoint() + std::chrono::hours(10);
  CrashTracker tracker = MakeTracker(state.range(0), now);
  RequestFingerprint request{~0ULL};
  for (auto _ : state) {
    benchmark::DoNotOptimize(tracker.Judge(request, now));
    benchmark::DoNotOptimize(tracker.Clear({request, now}, now));
    --request.value;
  }
}
BENCHMARK(BM_Innocent)->Arg(1)->Arg(16)->Arg(256);

}  // namespace
}  // namespace damasktack

BENCHMARK_MAIN();
