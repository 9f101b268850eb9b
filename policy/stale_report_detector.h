#ifndef POLICY_STALE_REPORT_DETECTOR_H_
#define POLICY_STALE_REPORT_DETECTOR_H_

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "policy/call.h"

namespace damasktack {

// A report, compared with the previous one from the same endpoint.
struct ReportPair {
  EndpointIndex endpoint = 0;
  // Calls in flight and queued, as reported.
  std::int32_t calls = 0;
  std::int32_t calls_before = 0;
  // Time between the arrivals of the two.
  Duration apart{};
};

// Detects whether the reports of a service are stale.
//
// Reports do not state how old their figures are: an endpoint that measures its
// load twice a second repeats the same figure in between, and each answer looks
// new. But one execution later, an endpoint under load seldom has the same
// number of calls. If reports repeat the previous one more often than the
// reports of two different endpoints coincide by chance, they are stale.
class StaleReportDetector {
 public:
  // Records a report; `execution` is the typical execution time and must be
  // positive.
  void OnReport(const ReportPair& pair, Duration execution);

  // Returns the fraction of reports that repeat the previous one of their
  // endpoint more often than by chance, among those that arrive at least one
  // execution after it. From 0 to 1; 0 before the first.
  double RepeatedFraction() const;
  // Returns whether reports are current enough to decide among endpoints with
  // the same number of own calls.
  bool IsTrusted() const;

 private:
  // Fractions of the reports that equaled the previous one of the same
  // endpoint, and of another endpoint.
  double equal_to_previous_ = 0;
  double equal_to_other_ = 0;
  std::optional<EndpointIndex> last_endpoint_;
  std::int32_t last_calls_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_STALE_REPORT_DETECTOR_H_
