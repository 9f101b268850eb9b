// What the quarantine adds to each request while crashes are remembered.
//   cmake --build build --target quarantine_bench &&
//   build/bench/quarantine_bench

#include <benchmark/benchmark.h>

#include <string>

#include "policy/crash_tracker.h"

namespace damasktack {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::uint64_t kSuspectsPerCrash = 6;

CrashTracker LedgerWith(std::int64_t crashes, TimePoint now) {
  CrashTracker ledger({}, kSeed);
  std::uint64_t request = 0;
  for (std::int64_t n = 0; n < crashes; ++n) {
    const EndpointProcess endpoint{EndpointId("e" + std::to_string(n)), {}};
    for (std::uint64_t it = 0; it < kSuspectsPerCrash; ++it) {
      ledger.Add({RequestFingerprint{++request}, endpoint, now}, now);
    }
  }
  return ledger;
}

// A request that nothing speaks against is judged, sent, and answered.
void BM_Innocent(benchmark::State& state) {
  const TimePoint now = TimePoint() + std::chrono::hours(10);
  CrashTracker ledger = LedgerWith(state.range(0), now);
  RequestFingerprint request{~0ULL};
  for (auto _ : state) {
    benchmark::DoNotOptimize(ledger.Judge(request, now));
    benchmark::DoNotOptimize(ledger.Clear({request, now}, now));
    --request.value;
  }
}
BENCHMARK(BM_Innocent)->Arg(1)->Arg(16)->Arg(256);

}  // namespace
}  // namespace damasktack

BENCHMARK_MAIN();
