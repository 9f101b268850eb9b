#include "policy/stale_report_detector.h"

#include <doctest/doctest.h>

#include <array>

#include "core/random.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr EndpointIndex kEndpoints = 8;
constexpr std::uint32_t kMaxCalls = 6;
constexpr Duration kExecution = milliseconds(7);

// Eight endpoints that report in turn, each every 40 ms unless stated
// otherwise.
struct Reporters {
  void Measure() {
    for (std::int32_t& it : calls) {
      it = static_cast<std::int32_t>(UniformBelow(random, kMaxCalls));
    }
  }
  void ReportAll(Duration apart = milliseconds(40)) {
    for (EndpointIndex n = 0; n < kEndpoints; ++n) {
      detector.OnReport({n, calls[n], before[n], apart}, kExecution);
    }
    before = calls;
  }
  // Runs the given number of rounds, with a new measurement before every
  // `renewed_each`th.
  void Rounds(int rounds, int renewed_each) {
    for (int n = 0; n < rounds; ++n) {
      if (n % renewed_each == 0) {
        Measure();
      }
      ReportAll();
    }
  }

  StaleReportDetector detector;
  Random random{5};
  std::array<std::int32_t, kEndpoints> calls{};
  std::array<std::int32_t, kEndpoints> before{};
};

TEST_CASE("reports are trusted initially") {
  CHECK(StaleReportDetector().IsTrusted());
}

TEST_CASE("reports with new measurements are trusted") {
  Reporters reporters;
  for (int n = 0; n < 200; ++n) {
    reporters.Rounds(10, 1);
    CHECK(reporters.detector.IsTrusted());
  }
}

// Guards against urgent calls that wait at one endpoint while others have free
// slots. Each endpoint measures its load twice a second and repeats the figure
// on every answer in between, so that all hosts act on the same old figure.
TEST_CASE("reports that repeat an old measurement are not trusted") {
  Reporters reporters;
  reporters.Rounds(200, 12);
  CHECK_FALSE(reporters.detector.IsTrusted());
  CHECK(reporters.detector.RepeatedFraction() > 0.5);
}

TEST_CASE("reports are trusted again when they are fresh again") {
  Reporters reporters;
  reporters.Rounds(200, 12);
  reporters.Rounds(200, 1);
  CHECK(reporters.detector.IsTrusted());
}

TEST_CASE("reports of zero by all idle endpoints are trusted") {
  Reporters reporters;
  for (int n = 0; n < 300; ++n) {
    reporters.ReportAll();
  }
  CHECK(reporters.detector.IsTrusted());
}

TEST_CASE("an equal report within one execution time is ignored") {
  Reporters reporters;
  reporters.Measure();
  for (int n = 0; n < 300; ++n) {
    reporters.ReportAll(milliseconds(2));
  }
  CHECK(reporters.detector.RepeatedFraction() == 0);
}

}  // namespace
}  // namespace damasktack
