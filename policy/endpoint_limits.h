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

// Tracks the limits that the endpoints of a service have stated, and decides
// whether one host may send them a request now. It has no clock, sockets or
// threads.
//
// Made for an overloaded endpoint that accepts only a few requests a second
// from all hosts together. It states this in its answers, while it looks as
// free as any other. Each host keeps to its share, by the size of the fleet. An
// endpoint that refuses a request may ask the host to pause and gets no
// requests meanwhile.
class EndpointLimits {
 public:
  explicit EndpointLimits(const HostId& host) : host_(host) {}

  // `hosts` is this host's count of the entry hosts.
  void SetService(std::size_t endpoints, std::int64_t hosts, TimePoint now) {
    fleet_.Set(hosts, endpoints, now);
  }
  // A new process now has the index.
  void OnAdded(EndpointIndex index, const EndpointId& id);
  // Applies the signals of an answer. `asked_at` is the time at which the
  // answered request was sent.
  void OnAnswer(EndpointIndex index,
                const EndpointSignals& signals,
                TimePoint asked_at,
                TimePoint now);
  // The same for the answer to a probe. It may lack signals that an answer to a
  // call has.
  void OnProbeAnswer(EndpointIndex index,
                     const EndpointSignals& signals,
                     TimePoint now);
  // Applies news from another host, to which the endpoint stated the limit, or
  // its end, at `stated_at`.
  void OnPeerLimit(EndpointIndex index,
                   std::optional<double> rate_limit,
                   TimePoint stated_at);
  void OnSend(EndpointIndex index, TimePoint now) {
    limits_[index].schedule.OnSend(now);
  }

  bool CanAcceptCall(EndpointIndex index, TimePoint now) const;
  // Returns whether the endpoint has asked for a pause that has not ended: it
  // wants neither calls nor probes.
  bool IsPaused(EndpointIndex index, TimePoint now) const {
    return now < limits_[index].paused_until;
  }
  // Returns the first time at which the endpoint can accept a call; `latest` if
  // that is not earlier.
  TimePoint AvailableAt(EndpointIndex index,
                        TimePoint now,
                        TimePoint latest) const;
  // Returns the earliest AvailableAt of the endpoints; null if there are none.
  std::optional<TimePoint> FirstAvailableAt(
      std::span<const EndpointIndex> endpoints,
      TimePoint now,
      TimePoint latest) const;
  // Returns the limit in requests a second from all hosts; null without a
  // limit.
  std::optional<double> rate_limit(EndpointIndex index) const {
    return limits_[index].rate_limit;
  }

 private:
  struct EndpointLimit {
    std::optional<double> rate_limit;
    // Time at which the limit was last stated or withdrawn.
    TimePoint limit_stated_at;
    SharedRate schedule;
    TimePoint paused_until;
  };

  // This host's share of a limit, in requests a second.
  double Share(double rate_limit, TimePoint now) const;

  HostId host_;
  FleetSize fleet_;
  std::vector<EndpointLimit> limits_;
};

}  // namespace damasktack

#endif  // POLICY_ENDPOINT_LIMITS_H_
