#include "policy/endpoint_measure.h"

#include "policy/decay.h"

namespace damasktack {

void EndpointMeasure::OnReport(const EndpointReport& report, TimePoint now) {
  reported_at_ = now;
  asked_at_ = now - report.asked_before;
  probe_sent_at_.reset();
  failed_at_.reset();
  unreported_at_.reset();
  pace_ = report.pace;
  calls_ = report.in_flight + report.queued;
  sent_since_ = 0;
}

void EndpointMeasure::OnProbeFailed(TimePoint now) {
  probe_sent_at_.reset();
  failed_at_ = now;
}

void EndpointMeasure::OnProbeUnreported(TimePoint now) {
  probe_sent_at_.reset();
  failed_at_.reset();
  unreported_at_ = now;
}

double EndpointMeasure::WeightAt(TimePoint now, Duration memory) const {
  return reported_at_ ? Decay(now - *reported_at_, memory) : 0;
}

double EndpointMeasure::Pace(const MeasurePrior& prior,
                             Duration memory,
                             TimePoint now) const {
  return prior.pace + (pace_ - prior.pace) * WeightAt(now, memory);
}

double EndpointMeasure::Calls(const MeasurePrior& prior,
                              double slots,
                              Duration memory,
                              TimePoint now) const {
  const double usual = prior.load * slots;
  return usual + (calls_ - usual) * WeightAt(now, memory) + sent_since_;
}

}  // namespace damasktack
