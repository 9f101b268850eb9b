#include "policy/stale_report_detector.h"

#include <doctest/doctest.h>

#include <array>

#include "core/random.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr EndpointIndex kEndpoints = 8;
constexpr std::uint32_t kMostCalls = 6;
constexpr Duration kExecution = milliseconds(7);

// Eight endpoints that report in turn, every 40 ms each unless said otherwise.
struct Reporters {
  void Measure() {
    for (std::int32_t& it : calls) {
      it = static_cast<std::int32_t>(UniformBelow(random, kMostCalls));
    }
  }
  void ReportAll(Duration apart = milliseconds(40)) {
    for (EndpointIndex n = 0; n < kEndpoints; ++n) {
      trust.OnReport({n, calls[n], before[n], apart}, kExecution);
    }
    before = calls;
  }
  // As many rounds, with a new measurement before every `renewed_each`th.
  void Rounds(int rounds, int renewed_each) {
    for (int n = 0; n < rounds; ++n) {
      if (n % renewed_each == 0) {
        Measure();
      }
      ReportAll();
    }
  }

  StaleReportDetector trust;
  Random random{5};
  std::array<std::int32_t, kEndpoints> calls{};
  std::array<std::int32_t, kEndpoints> before{};
};

TEST_CASE("reports are trusted before anything is known") {
  CHECK(StaleReportDetector().IsTrusted());
}

TEST_CASE("reports that are measured anew each time are trusted") {
  Reporters reporters;
  for (int n = 0; n < 200; ++n) {
    reporters.Rounds(10, 1);
    CHECK(reporters.trust.IsTrusted());
  }
}

// What the caller sees: urgent calls wait at one endpoint while others have
// free slots. Each endpoint measures its load twice a second and repeats the
// figure on every answer in between, so that all hosts go by the same old one.
TEST_CASE("reports that repeat an old measurement are not trusted") {
  Reporters reporters;
  reporters.Rounds(200, 12);
  CHECK_FALSE(reporters.trust.IsTrusted());
  CHECK(reporters.trust.RepeatedPart() > 0.5);
}

TEST_CASE("trust returns when the reports are fresh again") {
  Reporters reporters;
  reporters.Rounds(200, 12);
  reporters.Rounds(200, 1);
  CHECK(reporters.trust.IsTrusted());
}

TEST_CASE("idle endpoints that all report nothing are trusted") {
  Reporters reporters;
  for (int n = 0; n < 300; ++n) {
    reporters.ReportAll();
  }
  CHECK(reporters.trust.IsTrusted());
}

TEST_CASE("a repeat within an execution does not count") {
  Reporters reporters;
  reporters.Measure();
  for (int n = 0; n < 300; ++n) {
    reporters.ReportAll(milliseconds(2));
  }
  CHECK(reporters.trust.RepeatedPart() == 0);
}

}  // namespace
}  // namespace damasktack
