#ifndef POLICY_ENDPOINT_MEASURE_H_
#define POLICY_ENDPOINT_MEASURE_H_

#include <algorithm>
#include <optional>

#include "core/time.h"
#include "policy/endpoint_report.h"

namespace damasktack {

// Averages over the endpoints of a service, used for an endpoint whose own
// report is old.
struct MeasurePrior {
  // Execution time relative to the usual one.
  double pace = 1;
  // Calls in flight and queued, per slot.
  double load = 0.5;
};

// Holds the last report of one endpoint and the events since. The pace and the
// load of an endpoint change within hundreds of milliseconds, so a report
// counts fully while it is fresh and then decays towards the averages of the
// service.
class EndpointMeasure {
 public:
  void OnReport(const EndpointReport& report, TimePoint now);
  void OnSend() { ++sent_since_; }
  // Records that a call was answered without a report. Without it, the calls
  // sent to an endpoint that never reports would count forever.
  void OnAnswerUnreported() { sent_since_ = std::max(0, sent_since_ - 1); }
  // Records that a probe was sent (OnProbe), failed (OnProbeFailed) or was
  // answered without a report (OnProbeUnreported).
  void OnProbe(TimePoint now) { probe_sent_at_ = now; }
  void OnProbeFailed(TimePoint now);
  void OnProbeUnreported(TimePoint now);

  bool IsFresh(TimePoint now, Duration fresh) const {
    return reported_at_ && now - *reported_at_ <= fresh;
  }
  // Returns whether a probe is pending and has not timed out.
  bool IsPending(TimePoint now, Duration timeout) const {
    return probe_sent_at_ && now - *probe_sent_at_ < timeout;
  }
  bool HasProbe() const { return probe_sent_at_.has_value(); }
  // Returns whether a probe has failed since `earliest` and no report has
  // arrived after it.
  bool FailedSince(TimePoint earliest) const {
    return failed_at_ && *failed_at_ >= earliest;
  }

  // Returns whether a probe has ended without a report since `earliest`, so
  // that another one would hardly return one.
  bool WasProbedInVainSince(TimePoint earliest) const {
    return FailedSince(earliest) ||
           (unreported_at_ && *unreported_at_ >= earliest);
  }

  // Estimates for `now`; `memory` is the time constant with which a report
  // loses its weight.
  double Pace(const MeasurePrior& prior, Duration memory, TimePoint now) const;
  // Returns the calls in flight and queued, without those that this host sent
  // before the report and that have not ended.
  double Calls(const MeasurePrior& prior,
               double slots,
               Duration memory,
               TimePoint now) const;

  // Returns the pace in the last report, without any correction.
  double reported_pace() const { return pace_; }
  Duration ReportAge(TimePoint now) const {
    return reported_at_ ? now - *reported_at_ : Duration(-1);
  }
  // Returns the time since the last report was requested, an upper bound on the
  // age of its data.
  Duration AskedAge(TimePoint now) const {
    return reported_at_ ? now - asked_at_ : Duration(-1);
  }

 private:
  double WeightAt(TimePoint now, Duration memory) const;

  std::optional<TimePoint> reported_at_;
  // Time of the request for the last report; set if there is a report.
  TimePoint asked_at_;
  std::optional<TimePoint> probe_sent_at_;
  std::optional<TimePoint> failed_at_;
  std::optional<TimePoint> unreported_at_;
  double pace_ = 1;
  double calls_ = 0;
  int sent_since_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_MEASURE_H_
