#ifndef POLICY_SERVICE_TIME_ESTIMATE_H_
#define POLICY_SERVICE_TIME_ESTIMATE_H_

#include "core/time.h"

namespace damasktack {

// Estimates the slot time of calls of one kind from answered calls.
class ServiceTimeEstimate {
 public:
  void Learn(Duration took);
  // Records that a call was refused because of Least(). Lowers the estimate
  // slightly: refused calls provide no samples, so an estimate that is too high
  // would never be corrected.
  void OnRefusal();

  // Returns the first decile: nine calls in ten take longer. Zero before the
  // first sample.
  Duration Least() const;
  // Returns the moving mean; zero before the first sample.
  Duration Mean() const;

 private:
  double least_ = 0;
  double mean_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_SERVICE_TIME_ESTIMATE_H_
