#ifndef POLICY_MEASURED_BALANCER_H_
#define POLICY_MEASURED_BALANCER_H_

#include <optional>
#include <vector>

#include "core/random.h"
#include "policy/admission_queue.h"
#include "policy/balancer.h"
#include "policy/measured_endpoints.h"
#include "policy/measured_options.h"
#include "policy/probe_planner.h"
#include "policy/retry_budget.h"
#include "policy/returning_caller_detector.h"

namespace damasktack {

// Balances by measuring at the moment of the decision, for services whose
// executions take tens of milliseconds and more, on endpoints whose speed
// changes a few times within a second.
//
// The load that it answers: a quarter of the endpoints is several times slower
// than usual at any moment, and which ones changes faster than a host's own
// answers tell. A call that finds no fresh report of a good endpoint has a few
// endpoints probed, near ones first, then more; it goes where it will end
// first, and only where that is on time for its caller. One that nobody can
// serve in time is refused as soon as that is known, so that its caller may try
// elsewhere and queues at the endpoints stay short for those that come after
// it.
class MeasuredBalancer : public Balancer {
 public:
  MeasuredBalancer(MeasuredBalancerOptions options, std::uint64_t seed);

  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now) override;
  void SetHostNumber(const HostNumber& seat) override {
    endpoints_.SetHostNumber(seat);
  }
  void Offer(const CallOffer& offer, TimePoint now, Decisions& out) override;
  bool Withdraw(CallToken token, TimePoint now) override;
  AfterSend Finish(const CallOffer& offer,
                   const SendEnd& end,
                   TimePoint now,
                   Decisions& out) override;
  // One endpoint's refusal says little of the others: where they have room the
  // caller is told to come back at once. In a bad second in which endpoints
  // refuse four calls in ten, a second's wait made one call in seven late.
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
  std::size_t waiting() const override { return queue_.size(); }
  BalancerStatus Status(TimePoint now) const override;

 private:
  enum class Step : std::uint8_t { kSend, kRefuse, kWait };
  // What to do with a call, and the endpoint that it goes to or, where it is
  // not sent, the best there is.
  struct Decision {
    Step step = Step::kWait;
    std::optional<MeasuredCandidate> best;
  };

  // The best of enough fresh reports, where the call is on time there.
  std::optional<MeasuredCandidate> BestFreshOnTime(const WaitingCall& call,
                                                   TimePoint now);
  Decision Decide(const WaitingCall& call, TimePoint now);
  bool IsOnTime(const WaitingCall& call,
                const MeasuredCandidate& best,
                TimePoint now) const;
  bool IsLastChance(const WaitingCall& call,
                    const MeasuredCandidate& best,
                    TimePoint now) const;
  void Admit(WaitingCall call, TimePoint now, Decisions& out);
  void Pump(TimePoint now, Decisions& out);
  bool PumpOne(TimePoint now, Decisions& out);
  void Send(const WaitingCall& call,
            const MeasuredCandidate& best,
            TimePoint now,
            Decisions& out);
  DecisionBasis BasisOf(const std::optional<MeasuredCandidate>& best,
                        TimePoint now) const;
  // Whether no endpoint takes a call for longer than one waits for a place.
  bool IsUnavailableTooLong(const WaitingCall& call, TimePoint now) const;
  Duration RetryAfter(const WaitingCall& call,
                      const std::optional<MeasuredCandidate>& best,
                      TimePoint now) const;
  bool IsLeftToCaller(const CallOffer& offer) const;
  bool MayRetry(const CallOffer& offer, const SendEnd& end, TimePoint now);
  void UpdateUnavailableSince(const WaitingCall& call,
                              bool is_there,
                              TimePoint now);

  const MeasuredBalancerOptions options_;
  Random random_;
  MeasuredEndpoints endpoints_;
  ProbePlanner probes_;
  AdmissionQueue queue_;
  RetryBudget retries_;
  ReturningCallerDetector callers_;
  // Since when no endpoint has been one that may take a call.
  std::optional<TimePoint> no_place_since_;
  std::uint64_t retries_granted_ = 0;
  std::uint64_t retries_withheld_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_MEASURED_BALANCER_H_
