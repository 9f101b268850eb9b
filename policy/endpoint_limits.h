#ifndef POLICY_ENDPOINT_LIMITS_H_
#define POLICY_ENDPOINT_LIMITS_H_

#include <optional>
#include <span>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "policy/call.h"
#include "policy/endpoint_signals.h"
#include "policy/fleet_size.h"
#include "policy/shared_rate.h"

namespace damasktack {

// What the endpoints of a service have asked of their callers, and whether one
// host may send them a request now. Pure.
//
// The load that it answers: an endpoint in need takes a few requests a second
// from all hosts together and says so in its answers, while it looks as free as
// any other. Each host keeps to its part, by the size of the fleet. One that
// refuses a request may ask its host for rest, and gets nothing meanwhile.
class EndpointLimits {
 public:
  explicit EndpointLimits(const HostId& host) : host_(host) {}

  // `hosts` is the number of entry hosts as this one believes.
  void SetService(std::size_t endpoints, std::int64_t hosts, TimePoint now) {
    fleet_.Set(hosts, endpoints, now);
  }
  // A process that was not known before has the index now.
  void OnAdded(EndpointIndex index, const EndpointId& id);
  // `asked_at` is when the request was sent to which this is the answer.
  void OnAnswer(EndpointIndex index,
                const EndpointSignals& signals,
                TimePoint asked_at,
                TimePoint now);
  // The same for the answer to a probe, which may say less than one to a call.
  void OnProbeAnswer(EndpointIndex index,
                     const EndpointSignals& signals,
                     TimePoint now);
  // Another host was told of the limit, or of its end, at `stated_at`.
  void OnPeerLimit(EndpointIndex index,
                   std::optional<double> rate_limit,
                   TimePoint stated_at);
  void OnSend(EndpointIndex index, TimePoint now) {
    restraints_[index].schedule.OnSend(now);
  }

  bool CanAcceptCall(EndpointIndex index, TimePoint now) const;
  // Whether it wants neither calls nor probes now.
  bool IsPaused(EndpointIndex index, TimePoint now) const {
    return now < restraints_[index].rest_until;
  }
  // From when on CanAcceptCall holds; `latest` where not before.
  TimePoint AvailableAt(EndpointIndex index,
                        TimePoint now,
                        TimePoint latest) const;
  // The earliest AvailableAt of the endpoints; null without any.
  std::optional<TimePoint> FirstAvailableAt(
      std::span<const EndpointIndex> endpoints,
      TimePoint now,
      TimePoint latest) const;
  // Requests a second from all hosts; null without a limit.
  std::optional<double> rate_limit(EndpointIndex index) const {
    return restraints_[index].rate_limit;
  }

 private:
  struct Restraint {
    std::optional<double> rate_limit;
    // When the limit was last stated, or taken back.
    TimePoint limit_stated_at;
    SharedRate schedule;
    TimePoint rest_until;
  };

  // This host's part of a limit, in requests a second.
  double Share(double rate_limit, TimePoint now) const;

  HostId host_;
  FleetSize fleet_;
  std::vector<Restraint> restraints_;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_LIMITS_H_
