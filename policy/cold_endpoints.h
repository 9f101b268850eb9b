#ifndef POLICY_COLD_ENDPOINTS_H_
#define POLICY_COLD_ENDPOINTS_H_

#include <optional>
#include <vector>

#include "contract/service.h"
#include "policy/call.h"
#include "policy/cold_allowance.h"
#include "policy/fleet_size.h"

namespace damasktack {

// What the fleet may send to one cold endpoint within any second:
// rate * overshoot + slack.
struct ColdBoundOptions {
  double overshoot = 1;
  double slack = 0;
};

// An endpoint as a decision sees it.
struct ColdObservation {
  EndpointIndex index = 0;
  // Calls there and the slots for them, by a report that is fresh.
  bool is_known = false;
  double calls = 0;
  double slots = 1;
};

// Which endpoints of a service are cold, as one host believes, and whether it
// may send them a call. Pure.
//
// The load that it answers: a zone's endpoints come back cold and look free to
// every host of the fleet. A free slot shows that a call would not queue; it
// does not bound the calls of a second, since callers leave and errors free
// slots early, and since many hosts may go by one report. So each endpoint
// takes calls from the few hosts whose seats have its turns only. A host
// without a seat keeps to its part of the rate, and sends to an idle endpoint
// only.
class ColdEndpoints {
 public:
  ColdEndpoints(const HostId& host, const ColdBoundOptions& options)
      : host_(host), options_(options) {}

  // `hosts` is the number of entry hosts as this one believes.
  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now);
  // This host's place among the hosts from now on.
  void SetHostNumber(const HostNumber& seat);
  // What the list says of an endpoint; `before` is what it said last, null
  // where the index is a new process's.
  void OnListed(EndpointIndex index,
                const EndpointSpec* before,
                const EndpointSpec& spec,
                TimePoint now);
  // The endpoint's own word, on the answer to a probe that went out at
  // `asked_at`.
  void OnColdTime(EndpointIndex index,
                  Duration cold_for,
                  TimePoint asked_at,
                  TimePoint now);
  void OnSend(EndpointIndex index, TimePoint now) {
    allowances_[index].OnSend(now);
  }

  // Whether work takes longer there.
  bool IsSlow(EndpointIndex index, TimePoint now) const {
    return allowances_[index].IsCold(now);
  }
  // Whether it bears few calls only.
  bool IsCold(EndpointIndex index, TimePoint now) const {
    return rate_ > 0 && IsSlow(index, now);
  }
  // Whether a call may go there.
  bool CanAcceptCall(const ColdObservation& look, TimePoint now) const;
  // What a call that goes there now rests on; null where it bears any number.
  std::optional<ColdBasis> BasisOf(EndpointIndex index, TimePoint now) const;
  // Whether a report could show that a call may go there.
  bool IsProbeUseful(EndpointIndex index, TimePoint now) const;

 private:
  // The turns at each endpoint, of all hosts; none where it takes too few calls
  // to be shared out in this way.
  int TotalQuota() const;
  bool UsesHostQuota() const { return seat_.IsKnown() && TotalQuota() > 0; }
  void AssignQuotas();
  // Whether this host may send a call there, whatever the endpoint reports.
  bool IsAllowed(EndpointIndex index, TimePoint now) const;
  // This host's part of the rate, in calls a second.
  double Share(TimePoint now) const;

  const HostId host_;
  const ColdBoundOptions options_;
  std::vector<ColdAllowance> allowances_;
  std::vector<EndpointId> ids_;
  HostNumber seat_;
  Duration cold_time_{};
  double rate_ = 0;
  FleetSize fleet_;
};

}  // namespace damasktack

#endif  // POLICY_COLD_ENDPOINTS_H_
