#ifndef POLICY_MEASURED_BALANCER_H_
#define POLICY_MEASURED_BALANCER_H_

#include <optional>
#include <vector>

#include "core/random.h"
#include "policy/admission_queue.h"
#include "policy/balancer.h"
#include "policy/hedging.h"
#include "policy/measured_endpoints.h"
#include "policy/measured_options.h"
#include "policy/probe_planner.h"
#include "policy/retry_budget.h"
#include "policy/return_pacing.h"
#include "policy/returning_caller_detector.h"
#include "policy/route_times.h"
#include "policy/slack_placement.h"

namespace damasktack {

// Balances calls by probing endpoints at the time of the decision. It is meant
// for services whose executions take tens of milliseconds or more, on endpoints
// whose speed changes a few times a second.
//
// Made for services in which at any moment a quarter of the endpoints is
// several times slower than usual, and the slow endpoints change faster than a
// host's own answers show. If there is no fresh report of a good endpoint, a
// few endpoints are probed, near ones first, then more. The call goes to the
// endpoint where it completes first, provided that this is on time for its
// caller. A call that no endpoint can serve in time is refused as soon as this
// is known, so that its caller can try elsewhere and the queues at the
// endpoints stay short for later calls.
class MeasuredBalancer : public Balancer {
 public:
  MeasuredBalancer(MeasuredBalancerOptions options, std::uint64_t seed);

  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now) override;
  void SetHostNumber(const HostNumber& host_number) override {
    endpoints_.SetHostNumber(host_number);
  }
  void Offer(const CallOffer& offer, TimePoint now, Decisions& out) override;
  bool Withdraw(CallToken token, TimePoint now) override;
  AfterSend Finish(const CallOffer& offer,
                   const SendEnd& end,
                   TimePoint now,
                   Decisions& out) override;
  HedgeDecision DecideHedge(const HedgeRequest& request,
                            TimePoint now) override;
  // A refusal by one endpoint says little about the others: if they have room,
  // the caller is told to return at once. With a delay of one second, one call
  // in seven was late while endpoints refused four calls in ten.
  Duration RetryAfterSend(const CallOffer& offer,
                          const SendEnd& end,
                          TimePoint now) override;
  void Report(EndpointIndex endpoint,
              const EndpointReport& report,
              TimePoint now,
              Decisions& out) override;
  void OnSignals(EndpointIndex endpoint,
                 const EndpointSignals& signals,
                 TimePoint asked_at,
                 TimePoint now) override {
    endpoints_.OnSignals(endpoint, signals, asked_at, now);
  }
  void OnProbeSignals(EndpointIndex endpoint,
                      const EndpointSignals& signals,
                      TimePoint now) override {
    endpoints_.OnProbeSignals(endpoint, signals, now);
  }
  std::optional<double> RateLimit(EndpointIndex endpoint) const override {
    return endpoints_.RateLimit(endpoint);
  }
  void OnPeerRateLimit(const EndpointProcess& endpoint,
                       std::optional<double> rate_limit,
                       TimePoint stated_at) override {
    endpoints_.OnPeerRateLimit(endpoint, rate_limit, stated_at);
  }
  void OnPeerDrain(const EndpointId& id, TimePoint now) override;
  void Tick(TimePoint now, Decisions& out) override;
  std::optional<EndpointIndex> NextProbe(TimePoint now) override;
  bool probes_while_idle() const override { return false; }
  void ProbeFailed(EndpointIndex endpoint,
                   SendResult result,
                   TimePoint now,
                   Decisions& out) override;
  std::vector<EndpointChange> TakeChanges() override;

  const EndpointSpec& endpoint(EndpointIndex index) const override {
    return endpoints_.spec(index);
  }
  std::optional<EndpointIndex> FindEndpoint(
      const EndpointId& id) const override {
    return endpoints_.Find(id);
  }
  std::size_t waiting() const override { return queue_.size(); }
  BalancerStatus Status(TimePoint now) const override;

 private:
  enum class Step : std::uint8_t { kSend, kRefuse, kWait };
  // What to do with a call, and its endpoint; if the call is not sent, the best
  // endpoint found.
  struct Decision {
    Step step = Step::kWait;
    std::optional<MeasuredCandidate> best;
    bool is_by_slack = false;
  };

  // Returns the best endpoint among enough fresh reports, if the call is on
  // time there.
  std::optional<MeasuredCandidate> BestFreshOnTime(const WaitingCall& call,
                                                   TimePoint now);
  Decision Decide(const WaitingCall& call, TimePoint now);
  // What to do with a call for which no endpoint is available.
  Step DecideUnavailable(const WaitingCall& call, TimePoint now);
  // Returns whether the decision on the call waits for probes. Requests further
  // ones if none are pending.
  bool AwaitsProbes(const WaitingCall& call, TimePoint now);
  // Returns the decision that SlackPlacement makes while capacity is short;
  // null if it makes none. `least` is the shortest time that the call may take.
  std::optional<Decision> DecideBySlack(const WaitingCall& call,
                                        const MeasuredCandidate& best,
                                        Duration least,
                                        TimePoint now) const;
  // Returns how long the call may wait. This follows its objective if the
  // service's routes have different objectives.
  SlackWaits WaitsOf(const WaitingCall& call, TimePoint now) const;
  // Returns the execution time of the call's route at an endpoint that is
  // hardly used.
  Duration UsualTimeOf(const CallOffer& offer) const;
  // Returns the latest time at which the call must start to be on time with the
  // margin.
  TimePoint MustStartBy(const CallOffer& offer) const;
  bool IsOnTime(const WaitingCall& call,
                const MeasuredCandidate& best,
                TimePoint now) const;
  bool MayFinishLate(const WaitingCall& call,
                     const MeasuredCandidate& best,
                     TimePoint now) const;
  void Admit(WaitingCall call, TimePoint now, Decisions& out);
  void ProcessQueue(TimePoint now, Decisions& out);
  bool ProcessOne(TimePoint now, Decisions& out);
  void Send(const WaitingCall& call,
            const Decision& decision,
            TimePoint now,
            Decisions& out);
  DecisionBasis BasisOf(const Decision& decision, TimePoint now) const;
  // Whether the stated limits keep every endpoint from accepting the call for
  // longer than a call may wait.
  bool IsUnavailableTooLong(const WaitingCall& call, TimePoint now) const;
  Duration RetryAfter(const WaitingCall& call,
                      const std::optional<MeasuredCandidate>& best,
                      TimePoint now) const;
  // The same, spread over time if the returns of the call's route are paced.
  // `can_run_now` is whether an endpoint could serve the call on time now.
  Duration PacedRetryAfter(const WaitingCall& call,
                           const std::optional<MeasuredCandidate>& best,
                           bool can_run_now,
                           TimePoint now);
  bool IsPaced(const CallOffer& offer) const;
  // Whether the call's caller returns after a refusal, on a route whose returns
  // are paced.
  bool IsPacedReturn(const CallOffer& offer) const;
  bool IsLeftToCaller(const CallOffer& offer) const;
  int AttemptLimit(const CallOffer& offer) const;
  bool MayRetry(const CallOffer& offer, const SendEnd& end, TimePoint now);
  void UpdateUnavailableSince(const WaitingCall& call,
                              bool is_available,
                              TimePoint now);

  const MeasuredBalancerOptions options_;
  Random random_;
  MeasuredEndpoints endpoints_;
  ProbePlanner probes_;
  AdmissionQueue queue_;
  RetryBudget retries_;
  Hedging hedging_;
  ReturningCallerDetector returning_callers_;
  SlackPlacement slack_;
  RouteTimes route_times_;
  ReturnPacing pacing_;
  // Time since which no endpoint has been able to take a call.
  std::optional<TimePoint> unavailable_since_;
  std::uint64_t retries_granted_ = 0;
  std::uint64_t retries_withheld_ = 0;
  std::uint64_t slack_placements_ = 0;
  std::uint64_t slack_refusals_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_MEASURED_BALANCER_H_
