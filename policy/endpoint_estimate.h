#ifndef POLICY_ENDPOINT_ESTIMATE_H_
#define POLICY_ENDPOINT_ESTIMATE_H_

#include <cstdint>

#include "core/time.h"
#include "policy/endpoint_report.h"

namespace damasktack {

// Prior for the load of an endpoint, used as far as no recent report is known.
struct LoadPrior {
  // Mean calls of other hosts per slot in the service.
  double others_per_slot = 0;
  // Weight of a report on arrival, from 0 to 1.
  double report_weight = 1;
  // Time constant with which a report loses its weight: about the time in which
  // the endpoint's slots pass to other calls.
  Duration relaxation = std::chrono::milliseconds(10);
};

// Estimates, on one host, the calls in flight and queued at one endpoint.
//
// The estimate is the sum of the host's own calls, which are known exactly, and
// the calls of other hosts. The latter are the prior, corrected towards the
// last report minus the own calls; the correction decays as the report ages. So
// own sends since the report count at once, and fifteen hosts with the same old
// report soon stop acting on it.
class EndpointEstimate {
 public:
  void OnSend() { ++own_in_flight_; }
  void OnEnd() { --own_in_flight_; }
  // Returns whether the report contains new information.
  bool OnReport(const EndpointReport& report, TimePoint now);
  // The endpoint refused a call for lack of room: all `slots` are in use,
  // whatever it reports.
  void OnShed(double slots, TimePoint now);

  // Returns the estimated calls in flight and queued there now; at least the
  // own calls.
  double Calls(const LoadPrior& prior, double slots, TimePoint now) const;

  std::int32_t own_in_flight() const { return own_in_flight_; }
  // Calls in the last report; 0 before the first.
  std::int32_t calls_reported() const { return total_; }
  // Calls of other hosts according to the last report.
  double others_reported() const { return others_; }
  bool has_report() const { return has_report_; }
  // Returns the age of the last report; negative without a report.
  Duration ReportAge(TimePoint now) const;

 private:
  std::int32_t own_in_flight_ = 0;
  std::int32_t total_ = 0;
  std::int32_t repeats_ = 0;
  double others_ = 0;
  bool has_report_ = false;
  TimePoint received_at_;
  // Time of the last change of the reported figure. It distinguishes an
  // endpoint that measures its load from one that repeats an old figure.
  TimePoint changed_at_;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_ESTIMATE_H_
