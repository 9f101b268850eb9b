#include "policy/stale_report_detector.h"

#include <algorithm>

namespace damasktack {

namespace {

// What one more pair counts: under a second's worth of reports at a service
// that is in use, and enough of them to tell a fifth from chance.
constexpr double kSampleWeight = 1.0 / 128;
// Between what fresh reports show at a busy service and what ones that are
// renewed a few times a second show.
constexpr double kMostRepeated = 0.2;
// Where nearly all endpoints report alike, as in an idle service, a chance
// difference must not be divided by next to nothing.
constexpr double kLeastUnlike = 0.1;

void Learn(double& part, bool alike) {
  part += kSampleWeight * ((alike ? 1.0 : 0.0) - part);
}

}  // namespace

// Reports closer together than an execution are left out: a fresh one may
// well repeat the last, as nothing may have happened in between.
void StaleReportDetector::OnReport(const ReportPair& pair, Duration execution) {
  if (pair.apart >= execution) {
    Learn(like_same_, pair.calls == pair.calls_before);
  }
  if (last_endpoint_ && last_endpoint_ != pair.endpoint) {
    Learn(like_other_, pair.calls == last_calls_);
  }
  last_endpoint_ = pair.endpoint;
  last_calls_ = pair.calls;
}

double StaleReportDetector::RepeatedPart() const {
  const double unlike = std::max(1 - like_other_, kLeastUnlike);
  return std::clamp((like_same_ - like_other_) / unlike, 0.0, 1.0);
}

bool StaleReportDetector::IsTrusted() const {
  return RepeatedPart() <= kMostRepeated;
}

}  // namespace damasktack
