#ifndef POLICY_SERVICE_BASELINE_H_
#define POLICY_SERVICE_BASELINE_H_

#include <cstdint>

#include "core/time.h"
#include "policy/decay.h"
#include "policy/endpoint_estimate.h"
#include "policy/stale_report_detector.h"

namespace damasktack {

// Load of one host's own calls on the whole service.
struct OwnLoad {
  std::int32_t in_flight = 0;
  double usable_slots = 0;
  std::int64_t hosts = 1;
};

// Baseline of one service, as seen by one host: the typical load and answer
// time of its endpoints. Endpoints are compared with the baseline, so that none
// looks bad while the whole service is degraded.
class ServiceBaseline {
 public:
  // Records that the last reports of all endpoints together left
  // `others_per_slot` calls of other hosts.
  void OnReport(double others_per_slot, TimePoint now);
  // Records a further report of an endpoint that had reported before.
  void OnNextReport(const ReportPair& pair);
  void OnAnswer(Duration took);

  // Returns the calls of other hosts per slot over the whole service. Uses the
  // reports of all endpoints together, whose errors average out, as long as
  // there are recent ones.
  double OthersPerSlot(const OwnLoad& own, TimePoint now) const;
  // Returns the prior for the load of one endpoint.
  LoadPrior Prior(const OwnLoad& own, TimePoint now) const;
  // Returns the median time of an answer; zero before the first.
  Duration TypicalTime() const { return typical_; }
  // Returns the time of an answer divided by the median; capped.
  double RelativeTime(Duration took) const;

 private:
  double others_per_slot_ = 0;
  bool has_report_ = false;
  TimePoint reported_at_;
  Duration typical_{};
  StaleReportDetector stale_report_detector_;
};

}  // namespace damasktack

#endif  // POLICY_SERVICE_BASELINE_H_
