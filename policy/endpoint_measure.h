#ifndef POLICY_ENDPOINT_MEASURE_H_
#define POLICY_ENDPOINT_MEASURE_H_

#include <optional>

#include "core/time.h"
#include "policy/endpoint_report.h"

namespace damasktack {

// What is usual among the endpoints of a service, taken where one's own report
// is old.
struct MeasurePrior {
  double pace = 1;
  // Calls in flight and queued, by slot.
  double load = 0.5;
};

// The last report of one endpoint and what has happened since. How slow work
// is there and how much of it there is changes within hundreds of milliseconds,
// so a report counts fully while it is fresh and fades into what is usual.
class EndpointMeasure {
 public:
  void OnReport(const EndpointReport& report, TimePoint now);
  void OnSend() { ++sent_since_; }
  // A probe was sent, or ended without a report.
  void OnProbe(TimePoint now) { probe_sent_at_ = now; }
  void OnProbeFailed(TimePoint now);

  bool IsFresh(TimePoint now, Duration fresh) const {
    return reported_at_ && now - *reported_at_ <= fresh;
  }
  // A probe is on its way and not overdue.
  bool IsPending(TimePoint now, Duration patience) const {
    return probe_sent_at_ && now - *probe_sent_at_ < patience;
  }
  bool HasProbe() const { return probe_sent_at_.has_value(); }
  // A probe failed, and nothing was heard since.
  bool FailedSince(TimePoint earliest) const {
    return failed_at_ && *failed_at_ >= earliest;
  }

  // Estimates for now; `memory` is the time after which a report says little.
  double Pace(const MeasurePrior& prior, Duration memory, TimePoint now) const;
  // Calls in flight and queued, without those that this host sent before the
  // report and that have not ended.
  double Calls(const MeasurePrior& prior,
               double slots,
               Duration memory,
               TimePoint now) const;

  Duration ReportAge(TimePoint now) const {
    return reported_at_ ? now - *reported_at_ : Duration(-1);
  }
  // Since the last report was asked for: what it says is no older.
  Duration AskedAge(TimePoint now) const {
    return reported_at_ ? now - asked_at_ : Duration(-1);
  }

 private:
  double WeightAt(TimePoint now, Duration memory) const;

  std::optional<TimePoint> reported_at_;
  // Of the last report; set where there is one.
  TimePoint asked_at_;
  std::optional<TimePoint> probe_sent_at_;
  std::optional<TimePoint> failed_at_;
  double pace_ = 1;
  double calls_ = 0;
  int sent_since_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_MEASURE_H_
