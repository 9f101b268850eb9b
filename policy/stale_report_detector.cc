#include "policy/stale_report_detector.h"

#include <algorithm>

namespace damasktack {

namespace {

// Weight of a new pair. The average then covers less than a second of reports
// at a service in use, and enough of them to tell a fifth from chance.
constexpr double kSampleWeight = 1.0 / 128;
// Maximum fraction of repeated reports: between the value of fresh reports at a
// busy service and the value of reports that are renewed a few times a second.
constexpr double kMaxRepeatedFraction = 0.2;
// Lower bound of the divisor: if nearly all endpoints report the same, as in an
// idle service, a random difference would be divided by almost zero.
constexpr double kMinUnequalFraction = 0.1;

void Learn(double& part, bool alike) {
  part += kSampleWeight * ((alike ? 1.0 : 0.0) - part);
}

}  // namespace

// Reports less than one execution apart are ignored: nothing may have happened
// in between, so a fresh report may well equal the previous one.
void StaleReportDetector::OnReport(const ReportPair& pair, Duration execution) {
  if (pair.apart >= execution) {
    Learn(equal_to_previous_, pair.calls == pair.calls_before);
  }
  if (last_endpoint_ && last_endpoint_ != pair.endpoint) {
    Learn(equal_to_other_, pair.calls == last_calls_);
  }
  last_endpoint_ = pair.endpoint;
  last_calls_ = pair.calls;
}

double StaleReportDetector::RepeatedFraction() const {
  const double unlike = std::max(1 - equal_to_other_, kMinUnequalFraction);
  return std::clamp((equal_to_previous_ - equal_to_other_) / unlike, 0.0, 1.0);
}

bool StaleReportDetector::IsTrusted() const {
  return RepeatedFraction() <= kMaxRepeatedFraction;
}

}  // namespace damasktack
