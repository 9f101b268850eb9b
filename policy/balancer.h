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

// Describes the end of one send.
struct SendEnd {
  CallToken token = 0;
  EndpointIndex endpoint = 0;
  SendResult result = SendResult::kAnswered;
  // Time from the start of the send to its end.
  Duration took{};
  std::optional<EndpointReport> report;
  // Null if the endpoint did not answer.
  std::optional<EndpointSignals> signals = std::nullopt;
  // The answer passed through another damasktack closer to the failure, which
  // was able to retry the call itself.
  bool retried_downstream = false;
  // Endpoints have crashed while they ran this request, so it must not be sent
  // to another one.
  bool is_suspected = false;
  // Sends of this call so far, this one included.
  int sends = 1;
};

// What to do with a call after its send has ended.
enum class AfterSend : std::uint8_t { kDone, kRetry };

// A call whose first send is in flight and that may get a second one.
struct HedgeRequest {
  // The offer of the second send, with a token of its own. `is_retry` is set,
  // so that the second send is never retried by itself.
  CallOffer offer;
  CallToken first_token = 0;
  // Endpoint of the first send.
  EndpointIndex first = 0;
  // Time since the first send began.
  Duration in_flight{};
  // Sends of this call so far, the first send included.
  int sends = 1;
};

// At most one of `dispatch` and `ask_again_after` is set; none if the call gets
// no second send.
struct HedgeDecision {
  // Send the call a second time, now.
  std::optional<Dispatch> dispatch = std::nullopt;
  // Ask again after this time.
  std::optional<Duration> ask_again_after = std::nullopt;
  // Probes were requested, so NextProbe must be polled.
  bool has_probes = false;
};

struct BalancerStatus {
  EndpointTableStatus table;
  std::size_t waiting = 0;
  std::array<std::size_t, kUrgencyCount> waiting_by_urgency{};
  std::uint64_t retries_granted = 0;
  std::uint64_t retries_withheld = 0;
  std::uint64_t hedges_granted = 0;
  // Second sends that a budget did not allow.
  std::uint64_t hedges_withheld = 0;
  // Calls that SlackPlacement placed or refused, and whether it takes the
  // service for short of capacity.
  std::uint64_t slack_placements = 0;
  std::uint64_t slack_refusals = 0;
  bool is_capacity_short = false;
  // Returns of refused callers that ReturnPacing delayed, and those for which
  // there was no capacity in time.
  std::uint64_t returns_paced = 0;
  std::uint64_t returns_over_capacity = 0;
};

// Makes all decisions for one service on one host: which calls wait, which
// endpoint receives each call, which endpoints are probed and which calls are
// retried. It has no clock, sockets or threads; the owner serializes the calls
// and carries out the returned decisions.
class Balancer {
 public:
  virtual ~Balancer() = default;

  // Applies the published list. Endpoints that stay listed keep their index.
  // `hosts` is the number of entry hosts that share the endpoints.
  virtual void SetService(const ServiceSpec& service,
                          std::int64_t hosts,
                          TimePoint now) = 0;

  // Sets this host's number among the entry hosts. It determines this host's
  // share of the calls that an endpoint tolerates.
  virtual void SetHostNumber(const HostNumber& /*host_number*/) {}

  // Accepts a call. `out` may hold its dispatch or rejection at once.
  virtual void Offer(const CallOffer& offer, TimePoint now, Decisions& out) = 0;
  // Removes a waiting call whose caller went away. Returns false if the call is
  // not waiting.
  virtual bool Withdraw(CallToken token, TimePoint now) = 0;
  // Releases the endpoint's slot and returns whether the call is retried;
  // kRetry puts the call back into the queue.
  virtual AfterSend Finish(const CallOffer& offer,
                           const SendEnd& end,
                           TimePoint now,
                           Decisions& out) = 0;
  // Decides whether a call gets a second send while its first one is in flight.
  // A dispatch is accounted like any other; its end is reported with Finish and
  // the offer of the request.
  virtual HedgeDecision DecideHedge(const HedgeRequest& /*request*/,
                                    TimePoint /*now*/) {
    return {};
  }
  // Returns how long the caller should wait before it tries again, for a call
  // whose last send ended without an execution. Zero stands for the default of
  // the kind of failure.
  virtual Duration RetryAfterSend(const CallOffer& /*offer*/,
                                  const SendEnd& /*end*/,
                                  TimePoint /*now*/) {
    return Duration::zero();
  }
  virtual void Report(EndpointIndex endpoint,
                      const EndpointReport& report,
                      TimePoint now,
                      Decisions& out) = 0;
  // Handles the signals in an endpoint's answer to a call, sent at `asked_at`,
  // or to a probe. Must come before Finish or Report for the same answer.
  virtual void OnSignals(EndpointIndex endpoint,
                         const EndpointSignals& signals,
                         TimePoint asked_at,
                         TimePoint now) = 0;
  virtual void OnProbeSignals(EndpointIndex endpoint,
                              const EndpointSignals& signals,
                              TimePoint now) = 0;
  // Returns the rate limit that the endpoint has stated, or null if it has
  // stated none.
  virtual std::optional<double> RateLimit(EndpointIndex endpoint) const = 0;
  // Handles news from another host, to which the endpoint stated its rate
  // limit, or the end of the limit, at `stated_at`.
  virtual void OnPeerRateLimit(const EndpointProcess& endpoint,
                               std::optional<double> rate_limit,
                               TimePoint stated_at) = 0;
  // Handles news from another host that the endpoint is draining.
  virtual void OnPeerDrain(const EndpointId& id, TimePoint now) = 0;
  // Advances the time: refuses calls that missed their deadline and dispatches
  // calls that can be sent now.
  virtual void Tick(TimePoint now, Decisions& out) = 0;
  // Returns the next endpoint to probe, if the budget allows a probe now.
  virtual std::optional<EndpointIndex> NextProbe(TimePoint now) = 0;
  // Returns whether NextProbe must be polled even while no call waits.
  virtual bool probes_while_idle() const = 0;
  // Handles a probe that was sent and returned no report.
  virtual void ProbeFailed(EndpointIndex endpoint,
                           SendResult result,
                           TimePoint now,
                           Decisions& out) = 0;

  // Returns the ejections and returns of endpoints since the last call.
  virtual std::vector<EndpointChange> TakeChanges() { return {}; }

  virtual const EndpointSpec& endpoint(EndpointIndex index) const = 0;
  // Returns the index of a listed endpoint; null if it is not listed.
  virtual std::optional<EndpointIndex> FindEndpoint(
      const EndpointId& id) const = 0;
  virtual std::size_t waiting() const = 0;
  virtual BalancerStatus Status(TimePoint now) const = 0;
};

}  // namespace damasktack

#endif  // POLICY_BALANCER_H_
