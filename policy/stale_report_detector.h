#ifndef POLICY_STALE_REPORT_DETECTOR_H_
#define POLICY_STALE_REPORT_DETECTOR_H_

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "policy/call.h"

namespace damasktack {

// A report beside the one that came from the same endpoint before it.
struct ReportPair {
  EndpointIndex endpoint = 0;
  // Calls in flight and queued, as reported.
  std::int32_t calls = 0;
  std::int32_t calls_before = 0;
  // The time between the arrivals of the two.
  Duration apart{};
};

// Learns whether the reports of a service tell of the present.
//
// No report says how old its figure is: an endpoint that measures its load
// twice a second answers with the same figure in between, and each answer
// looks new. But an execution later an endpoint at work seldom has as many
// calls as before. Where reports repeat the last one more often than those of
// two different endpoints happen to be alike, they are old.
class StaleReportDetector {
 public:
  // `execution` is the typical time of one; above zero.
  void OnReport(const ReportPair& pair, Duration execution);

  // The part of the reports that repeat the last of their endpoint by more
  // than chance, of those that come an execution or more after it. From 0 to
  // 1; 0 before the first.
  double RepeatedPart() const;
  // Whether a report may decide among endpoints with as many own calls.
  bool IsTrusted() const;

 private:
  // The part of reports that were like the last of the same endpoint, and
  // like the last of another.
  double like_same_ = 0;
  double like_other_ = 0;
  std::optional<EndpointIndex> last_endpoint_;
  std::int32_t last_calls_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_STALE_REPORT_DETECTOR_H_
