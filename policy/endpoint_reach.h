#ifndef POLICY_ENDPOINT_REACH_H_
#define POLICY_ENDPOINT_REACH_H_

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

#include "contract/service.h"
#include "core/ids.h"
#include "core/time.h"

namespace damasktack {

// Judges whether this host reaches the endpoints of one service at all. A
// network partition between this host and all endpoints looks like a failure of
// each endpoint, and comparing endpoints with each other cannot show it. The
// service counts as unreachable if several endpoints have failed to respond
// since any of them last did.
//
// Only failures of connections and probes are to be recorded: an overloaded
// endpoint that exceeds a call's deadline is reachable. It is a pure state
// machine.
class EndpointReach {
 public:
  // Number of different endpoints that must fail. In a service with fewer
  // endpoints all of them must fail, but never a single one: its own failure
  // cannot be distinguished from a partition.
  static constexpr std::size_t kMinFailing = 3;
  // Interval of the probes by which a host notices that it reaches an
  // unreachable service again.
  static constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
  // Failures that took longer are ignored: the process itself was suspended or
  // starved, and the response may have been waiting to be read.
  static constexpr Duration kMaxFailureTime = std::chrono::milliseconds(1500);

  // Applies the published list. Failures of endpoints that are no longer listed
  // are forgotten.
  void SetEndpoints(const std::vector<EndpointSpec>& endpoints, TimePoint now);
  // Records a response of any endpoint, whatever its status.
  void OnResponse(TimePoint now);
  // Records an exchange, begun at `began_at`, that ended without a response.
  void OnNoResponse(const EndpointId& endpoint,
                    TimePoint began_at,
                    TimePoint now);

  bool is_unreachable() const { return unreachable_since_.has_value(); }
  // Returns the time since which the service has been unreachable; null if it
  // is reachable.
  std::optional<TimePoint> unreachable_since() const {
    return unreachable_since_;
  }
  // Returns the number of endpoints that have failed since the last response.
  std::size_t failing() const { return failing_.size(); }
  // Returns the time since the last response.
  Duration SilentFor(TimePoint now) const { return now - last_response_; }
  // While the service is unreachable, returns the next endpoint to probe if a
  // probe is due.
  std::optional<EndpointId> NextProbe(TimePoint now);

 private:
  void Judge(TimePoint now);

  std::vector<EndpointId> endpoints_;
  // Endpoints without a response since `last_response_`.
  std::set<EndpointId> failing_;
  TimePoint last_response_;
  std::optional<TimePoint> unreachable_since_;
  TimePoint next_probe_;
  std::size_t probed_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_REACH_H_
