#include "policy/endpoint_estimate.h"

#include <algorithm>

#include "policy/decay.h"

namespace damasktack {

namespace {

// An endpoint under load seldom reports the same figure three times in a row,
// but one with a frozen report does. A low frozen figure, if trusted, would
// attract every call for as long as it lasts. From the third repetition on, the
// report keeps the age of the first, so that the estimate approaches the prior.
constexpr std::int32_t kMaxTrustedRepeats = 1;

}  // namespace

bool EndpointEstimate::OnReport(const EndpointReport& report, TimePoint now) {
  const std::int32_t total = report.in_flight + report.queued;
  const bool repeated = has_report_ && total == total_;
  repeats_ = repeated ? repeats_ + 1 : 0;
  has_report_ = true;
  received_at_ = now;
  if (repeats_ > kMaxTrustedRepeats) {
    return false;
  }
  total_ = total;
  others_ = std::max(0, total - own_in_flight_);
  changed_at_ = now;
  return true;
}

void EndpointEstimate::OnShed(double slots, TimePoint now) {
  others_ = std::max(others_, slots - own_in_flight_);
  changed_at_ = now;
}

double EndpointEstimate::Calls(const LoadPrior& prior,
                               double slots,
                               TimePoint now) const {
  const double usual = prior.others_per_slot * slots;
  if (!has_report_) {
    return own_in_flight_ + usual;
  }
  const double left =
      prior.report_weight * Decay(now - changed_at_, prior.relaxation);
  return own_in_flight_ + usual + (others_ - usual) * left;
}

Duration EndpointEstimate::ReportAge(TimePoint now) const {
  return has_report_ ? now - received_at_ : Duration(-1);
}

}  // namespace damasktack
