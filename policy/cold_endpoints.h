#ifndef POLICY_COLD_ENDPOINTS_H_
#define POLICY_COLD_ENDPOINTS_H_

#include <optional>
#include <vector>

#include "contract/service.h"
#include "policy/call.h"
#include "policy/cold_allowance.h"
#include "policy/fleet_size.h"

namespace damasktack {

// Limit on the calls that the fleet sends to one cold endpoint within any
// second: rate * overshoot + slack.
struct ColdBoundOptions {
  double overshoot = 1;
  double slack = 0;
};

// Load of an endpoint, as known when a decision is made.
struct ColdObservation {
  EndpointIndex index = 0;
  // Whether `calls` and `slots` come from a fresh report.
  bool is_known = false;
  double calls = 0;
  double slots = 1;
};

// Tracks which endpoints of a service are cold and decides whether one host may
// send them a call. It has no clock, sockets or threads.
//
// Made for the endpoints of a zone that return cold and look free to every host
// of the fleet. A free slot shows that a call would not queue. It does not
// limit the calls within a second: callers that leave and errors free slots
// early, and many hosts may act on one report. So each endpoint accepts calls
// only from the few hosts whose host numbers hold its quota. A host without a
// number keeps to its share of the rate and sends only to an idle endpoint.
class ColdEndpoints {
 public:
  ColdEndpoints(const HostId& host, const ColdBoundOptions& options)
      : host_(host), options_(options) {}

  // `hosts` is this host's count of the entry hosts.
  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now);
  // Sets this host's number among the entry hosts.
  void SetHostNumber(const HostNumber& host_number);
  // Applies an endpoint's entry in the published list. `before` is its previous
  // entry, null if the index now belongs to a new process.
  void OnListed(EndpointIndex index,
                const EndpointSpec* before,
                const EndpointSpec& spec,
                TimePoint now);
  // Applies the endpoint's own statement, in its answer to a probe sent at
  // `asked_at`.
  void OnColdTime(EndpointIndex index,
                  Duration cold_for,
                  TimePoint asked_at,
                  TimePoint now);
  void OnSend(EndpointIndex index, TimePoint now) {
    allowances_[index].OnSend(now);
  }

  // Returns whether executions take longer there because the endpoint is cold.
  bool IsSlow(EndpointIndex index, TimePoint now) const {
    return allowances_[index].IsCold(now);
  }
  // Returns whether the endpoint tolerates only a limited rate of calls.
  bool IsCold(EndpointIndex index, TimePoint now) const {
    return rate_ > 0 && IsSlow(index, now);
  }
  // Returns whether the endpoint may be sent a call now.
  bool CanAcceptCall(const ColdObservation& observation, TimePoint now) const;
  // Returns the basis for sending a call there now; null if the rate of calls
  // is not limited.
  std::optional<ColdBasis> BasisOf(EndpointIndex index, TimePoint now) const;
  // Returns whether a fresh report could allow a call there.
  bool IsProbeUseful(EndpointIndex index, TimePoint now) const;

 private:
  // Quota at each endpoint over all hosts, in calls per window; 0 if the
  // endpoint tolerates too few calls to be divided in this way.
  int TotalQuota() const;
  bool UsesHostQuota() const {
    return host_number_.IsKnown() && TotalQuota() > 0;
  }
  void AssignQuotas();
  // Whether this host's quota or share allows a call, regardless of the
  // endpoint's report.
  bool IsAllowed(EndpointIndex index, TimePoint now) const;
  // This host's share of the rate, in calls a second.
  double Share(TimePoint now) const;

  const HostId host_;
  const ColdBoundOptions options_;
  std::vector<ColdAllowance> allowances_;
  std::vector<EndpointId> ids_;
  HostNumber host_number_;
  Duration cold_time_{};
  double rate_ = 0;
  FleetSize fleet_;
};

}  // namespace damasktack

#endif  // POLICY_COLD_ENDPOINTS_H_
