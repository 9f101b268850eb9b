#ifndef POLICY_BALANCER_H_
#define POLICY_BALANCER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "contract/service.h"
#include "core/time.h"
#include "policy/call.h"
#include "policy/call_offer.h"
#include "policy/endpoint_process.h"
#include "policy/endpoint_report.h"
#include "policy/endpoint_signals.h"
#include "policy/endpoint_status.h"
#include "policy/host_number.h"

namespace damasktack {

// One finished send.
struct SendEnd {
  CallToken token = 0;
  EndpointIndex endpoint = 0;
  SendResult result = SendResult::kAnswered;
  // From the start of the send to its end.
  Duration took{};
  std::optional<EndpointReport> report;
  // Null without an answer of the endpoint.
  std::optional<EndpointSignals> signals = std::nullopt;
  // The answer went through a damasktack closer to the failure, which has
  // had its chance to send the call again.
  bool retried_downstream = false;
  // Other endpoints have ended under this request, so that it may not be given
  // to one more.
  bool is_suspected = false;
  // Sends of this call so far, this one included.
  int sends = 1;
};

// What to do with a call whose send has ended.
enum class AfterSend : std::uint8_t { kDone, kRetry };

struct BalancerStatus {
  EndpointTableStatus table;
  std::size_t waiting = 0;
  std::array<std::size_t, kUrgencyCount> waiting_by_urgency{};
  std::uint64_t retries_granted = 0;
  std::uint64_t retries_withheld = 0;
};

// All decisions for one service on one host: who waits, who is sent where,
// what is measured, what is tried again. Pure: no clock, sockets or threads;
// the owner serialises the calls and carries out what comes back.
class Balancer {
 public:
  virtual ~Balancer() = default;

  // Follows the published list. Indexes of endpoints that stay are kept.
  // `hosts` is the number of entry hosts that share the endpoints.
  virtual void SetService(const ServiceSpec& service,
                          std::int64_t hosts,
                          TimePoint now) = 0;

  // This host's place among those hosts, by which it shares with them what an
  // endpoint bears.
  virtual void SetHostNumber(const HostNumber& /*seat*/) {}

  // Takes a call in; `out` may hold its dispatch or rejection at once.
  virtual void Offer(const CallOffer& offer, TimePoint now, Decisions& out) = 0;
  // Takes a waiting call out, when its caller went away. False where the call
  // is not waiting.
  virtual bool Withdraw(CallToken token, TimePoint now) = 0;
  // Frees the endpoint's place and says whether the call may be sent again;
  // kRetry puts the call back among the waiting.
  virtual AfterSend Finish(const CallOffer& offer,
                           const SendEnd& end,
                           TimePoint now,
                           Decisions& out) = 0;
  // When the caller of a call whose last send was finished and surely did not
  // run may come back with a chance. Zero: what is usual for the failure.
  virtual Duration RetryAfterSend(const CallOffer& /*offer*/,
                                  const SendEnd& /*end*/,
                                  TimePoint /*now*/) {
    return Duration::zero();
  }
  virtual void Report(EndpointIndex endpoint,
                      const EndpointReport& report,
                      TimePoint now,
                      Decisions& out) = 0;
  // What an endpoint's answer to a call, sent at `asked_at`, or to a probe says
  // of the requests that it wants; before Finish or Report of that answer.
  virtual void OnSignals(EndpointIndex endpoint,
                         const EndpointSignals& signals,
                         TimePoint asked_at,
                         TimePoint now) = 0;
  virtual void OnProbeSignals(EndpointIndex endpoint,
                              const EndpointSignals& signals,
                              TimePoint now) = 0;
  // The rate limit that the endpoint has stated; null without one.
  virtual std::optional<double> RateLimit(EndpointIndex endpoint) const = 0;
  // Another host was told at `stated_at` of the endpoint's rate limit, or of
  // its end.
  virtual void OnPeerRateLimit(const EndpointProcess& endpoint,
                               std::optional<double> rate_limit,
                               TimePoint stated_at) = 0;
  // Another host has seen the endpoint drain.
  virtual void OnPeerDrain(const EndpointId& id, TimePoint now) = 0;
  // Time passes: refuses what missed its deadline, sends what may go now.
  virtual void Tick(TimePoint now, Decisions& out) = 0;
  // The next endpoint worth a probe, if the budget allows one now.
  virtual std::optional<EndpointIndex> NextProbe(TimePoint now) = 0;
  // Whether NextProbe is to be asked also while no call waits.
  virtual bool probes_while_idle() const = 0;
  // A probe that was sent brought no report.
  virtual void ProbeFailed(EndpointIndex endpoint,
                           SendResult result,
                           TimePoint now,
                           Decisions& out) = 0;

  // Ejections and what followed them, since the last call.
  virtual std::vector<EndpointChange> TakeChanges() { return {}; }

  virtual const EndpointSpec& endpoint(EndpointIndex index) const = 0;
  virtual std::size_t waiting() const = 0;
  virtual BalancerStatus Status(TimePoint now) const = 0;
};

}  // namespace damasktack

#endif  // POLICY_BALANCER_H_
