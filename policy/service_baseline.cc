#include "policy/service_baseline.h"

#include <algorithm>

namespace damasktack {

namespace {

constexpr double kSampleWeight = 0.05;
// Time constant with which the reports lose their weight if no new one arrives.
// The estimate then relies on the host's own calls.
constexpr Duration kReportTimeConstant = std::chrono::seconds(1);
// Divisor of the median that gives the size of its steps.
constexpr std::int64_t kMedianStepDivisor = 64;
// Upper bound, so that one stuck call does not outweigh hundreds.
constexpr double kMaxRelativeTime = 16;
constexpr Duration kMinRelaxation = std::chrono::milliseconds(2);
constexpr Duration kMaxRelaxation = std::chrono::seconds(1);
constexpr Duration kInitialRelaxation = std::chrono::milliseconds(10);
// Weight of a report. It is too small to outweigh what the host knows by
// itself, so a report only decides among endpoints with the same number of own
// calls. Fifteen hosts that give it more weight follow the same old figures to
// the same endpoint; docs/notes/choice-of-endpoint.md lists the measurements
// for each weight.
constexpr double kReportWeight = 0.02;

// Best estimate without reports: assumes that each other host has the same load
// as this one.
double OthersFromOwn(const OwnLoad& own) {
  return own.usable_slots <= 0 ? 0
                               : own.in_flight / own.usable_slots *
                                     static_cast<double>(own.hosts - 1);
}

}  // namespace

void ServiceBaseline::OnReport(double others_per_slot, TimePoint now) {
  const double weight = has_report_ ? kSampleWeight : 1;
  others_per_slot_ += weight * (others_per_slot - others_per_slot_);
  has_report_ = true;
  reported_at_ = now;
}

void ServiceBaseline::OnNextReport(const ReportPair& pair) {
  if (typical_ != Duration::zero()) {
    stale_report_detector_.OnReport(pair, typical_);
  }
}

void ServiceBaseline::OnAnswer(Duration took) {
  if (typical_ == Duration::zero()) {
    typical_ = std::max(took, Duration(1));
    return;
  }
  const Duration step = std::max(typical_ / kMedianStepDivisor, Duration(1));
  typical_ += took > typical_ ? step : -step;
  typical_ = std::max(typical_, Duration(1));
}

double ServiceBaseline::OthersPerSlot(const OwnLoad& own, TimePoint now) const {
  const double from_own = OthersFromOwn(own);
  const double fraction =
      has_report_ ? Decay(now - reported_at_, kReportTimeConstant) : 0.0;
  return from_own + (others_per_slot_ - from_own) * fraction;
}

LoadPrior ServiceBaseline::Prior(const OwnLoad& own, TimePoint now) const {
  LoadPrior prior;
  if (typical_ == Duration::zero()) {
    prior.relaxation = kInitialRelaxation;
  } else {
    prior.relaxation = std::clamp(typical_, kMinRelaxation, kMaxRelaxation);
  }
  // Even with a small weight, an old report orders endpoints with the same
  // number of own calls, and does so in the same way on every host: all hosts
  // fill the endpoint that was least loaded at that time. Without any weight,
  // the choice is random.
  prior.report_weight = stale_report_detector_.IsTrusted() ? kReportWeight : 0;
  prior.others_per_slot = OthersPerSlot(own, now);
  return prior;
}

double ServiceBaseline::RelativeTime(Duration took) const {
  if (typical_ == Duration::zero()) {
    return 1;
  }
  const double ratio =
      static_cast<double>(took.count()) / static_cast<double>(typical_.count());
  return std::min(ratio, kMaxRelativeTime);
}

}  // namespace damasktack
