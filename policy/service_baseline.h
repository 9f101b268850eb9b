#ifndef POLICY_SERVICE_BASELINE_H_
#define POLICY_SERVICE_BASELINE_H_

#include <cstdint>

#include "core/time.h"
#include "policy/decay.h"
#include "policy/endpoint_estimate.h"
#include "policy/stale_report_detector.h"

namespace damasktack {

// What one host's own calls to the whole service amount to.
struct OwnLoad {
  std::int32_t in_flight = 0;
  double usable_slots = 0;
  std::int64_t hosts = 1;
};

// What is usual among the endpoints of one service, as one host sees them.
// An endpoint is judged against it, so that a bad hour of the whole service
// makes none of them look bad.
class ServiceBaseline {
 public:
  // The last reports of all endpoints together left `others_per_slot` calls
  // of other hosts.
  void OnReport(double others_per_slot, TimePoint now);
  // An endpoint that had reported before has done so again.
  void OnNextReport(const ReportPair& pair);
  void OnAnswer(Duration took);

  // Calls of other hosts by slot over the whole service: by the reports of
  // all endpoints together, whose errors level out, while there are any.
  double OthersPerSlot(const OwnLoad& own, TimePoint now) const;
  // For one endpoint.
  LoadPrior Prior(const OwnLoad& own, TimePoint now) const;
  // The median time of an answer; zero before the first.
  Duration TypicalTime() const { return typical_; }
  // How long an answer took by the median; capped.
  double RelativeTime(Duration took) const;

 private:
  double others_per_slot_ = 0;
  bool has_report_ = false;
  TimePoint reported_at_;
  Duration typical_{};
  StaleReportDetector trust_;
};

}  // namespace damasktack

#endif  // POLICY_SERVICE_BASELINE_H_
