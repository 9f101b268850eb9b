#ifndef POLICY_HOST_QUOTA_H_
#define POLICY_HOST_QUOTA_H_

#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "policy/host_number.h"

namespace damasktack {

// The turns of one host at one endpoint that takes only a few calls from all
// hosts together, each turn one call within kQuotaWindow.
//
// The load that it answers: each host has calls for the endpoint all the time,
// and what an endpoint says of itself is true for a moment only. The turns of
// an endpoint fall to seats, drawn by a hash that all hosts compute alike, so
// that no host needs to know what the others send.
class HostQuota {
 public:
  // A second, and the time for which the call before may have been on its way.
  static constexpr Duration kQuotaWindow = std::chrono::milliseconds(1250);

  // `turns` are those of the endpoint in all. What was sent by a turn stays
  // counted.
  void Draw(const EndpointId& endpoint, int turns, const HostNumber& seat);

  // Those that fall to this host's seat.
  int own() const { return own_turns_; }
  bool IsAvailable(TimePoint now) const;
  void OnSend(TimePoint now);

 private:
  int own_turns_ = 0;
  // The last calls, one for each turn, the oldest first.
  std::vector<TimePoint> sent_;
};

}  // namespace damasktack

#endif  // POLICY_HOST_QUOTA_H_
