#include "tests/soak/cold_phase_injector.h"

#include <algorithm>
#include <string>

namespace damasktack {

namespace {

// Endpoints update their list entry at about this interval.
constexpr int kMaxReportDelayMs = 1500;

}  // namespace

void ColdPhaseInjector::Begin(double part, TimePoint now) {
  std::bernoulli_distribution is_chosen(part);
  std::uniform_int_distribution<int> report_delay_ms(0, kMaxReportDelayMs);
  for (int n = 0; n < fleet_.cold_endpoints().size(); ++n) {
    if (is_chosen(random_)) {
      fleet_.cold_endpoints().at(n).BecomeCold(SoakFleet::kColdTime);
      pending_reports_.push_back(
          {n, now + std::chrono::milliseconds(report_delay_ms(random_))});
    }
  }
}

void ColdPhaseInjector::Tick(TimePoint now) {
  std::erase_if(pending_reports_, [&](const PendingReport& it) {
    const bool is_due = it.due <= now;
    if (is_due) {
      fleet_.PublishColdState(it.endpoint);
    }
    return is_due;
  });
}

std::vector<std::size_t> ColdPhaseInjector::CheckPeakRates(
    SoakRecorder& ledger) const {
  std::vector<std::size_t> seconds;
  for (int n = 0; n < fleet_.cold_endpoints().size(); ++n) {
    const SlotEndpoint& endpoint = fleet_.cold_endpoints().at(n);
    const std::size_t peak = endpoint.peak_cold_rate();
    seconds.push_back(peak);
    if (peak > SoakFleet::kMaxColdRequestsPerSecond) {
      ledger.AddViolation(endpoint.id() + ": " + std::to_string(peak) +
                          " requests within a second while it was cold");
    }
  }
  return seconds;
}

}  // namespace damasktack
