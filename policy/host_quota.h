#ifndef POLICY_HOST_QUOTA_H_
#define POLICY_HOST_QUOTA_H_

#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "policy/host_number.h"

namespace damasktack {

// One host's quota at one endpoint that tolerates only a few calls from all
// hosts together. Each unit of quota allows one call within kQuotaWindow.
//
// Made for hosts that always have calls for the endpoint, while the state that
// the endpoint reports holds only for a moment. The units of an endpoint's
// quota are assigned to host numbers by a hash that all hosts compute alike, so
// that no host needs to know what the others send.
class HostQuota {
 public:
  // One second, plus the time for which the previous call may have been in
  // transit.
  static constexpr Duration kQuotaWindow = std::chrono::milliseconds(1250);

  // Computes this host's part of the `units` that the endpoint has in total.
  // Calls already sent remain counted.
  void Draw(const EndpointId& endpoint,
            int units,
            const HostNumber& host_number);

  // Returns how many units are assigned to this host's number.
  int own() const { return own_units_; }
  bool IsAvailable(TimePoint now) const;
  void OnSend(TimePoint now);

 private:
  int own_units_ = 0;
  // Times of the last calls, one for each unit, oldest first.
  std::vector<TimePoint> sent_;
};

}  // namespace damasktack

#endif  // POLICY_HOST_QUOTA_H_
