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
struct ColdLook {
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
// every host of the fleet. Where the slots of an endpoint cannot take more
// calls in a second than it tolerates, a free slot is enough: the host sends
// none that would queue. Elsewhere it keeps to its part of the rate, and sends
// to an idle endpoint only, so that hosts which take the fleet for smaller than
// it is do not add to each other's calls.
class ColdEndpoints {
 public:
  ColdEndpoints(const HostId& host, const ColdBoundOptions& options)
      : host_(host), options_(options) {}

  // `hosts` is the number of entry hosts as this one believes.
  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now);
  // What the list says of an endpoint; `before` is what it said last, null
  // where the index is a new process's.
  void OnListed(EndpointIndex index,
                const EndpointSpec* before,
                const EndpointSpec& spec,
                TimePoint now);
  // The endpoint's own word, on the answer to a probe.
  void OnColdTime(EndpointIndex index, Duration cold_for, TimePoint now) {
    allowances_[index].OnCold(ColdWord::kProbe, now + cold_for, now);
  }
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
  // Whether a call may go there; `usual_time` is that of an execution.
  bool MayTakeOne(const ColdLook& look,
                  Duration usual_time,
                  TimePoint now) const;
  // What a call that goes there now rests on; null where it bears any number.
  std::optional<ColdBasis> BasisOf(EndpointIndex index, TimePoint now) const;
  // Whether a report could show that a call may go there.
  bool IsWorthALook(EndpointIndex index,
                    double slots,
                    Duration usual_time,
                    TimePoint now) const;

 private:
  bool IsBoundBySlots(double slots, Duration usual_time) const;
  // This host's part of the rate, in calls a second.
  double Share(TimePoint now) const;

  const HostId host_;
  const ColdBoundOptions options_;
  std::vector<ColdAllowance> allowances_;
  Duration cold_time_{};
  double rate_ = 0;
  FleetSize fleet_;
};

}  // namespace damasktack

#endif  // POLICY_COLD_ENDPOINTS_H_
