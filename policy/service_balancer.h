#ifndef POLICY_SERVICE_BALANCER_H_
#define POLICY_SERVICE_BALANCER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "contract/service.h"
#include "core/random.h"
#include "core/time.h"
#include "policy/admission_queue.h"
#include "policy/balancer.h"
#include "policy/call.h"
#include "policy/call_offer.h"
#include "policy/endpoint_report.h"
#include "policy/endpoint_table.h"
#include "policy/execution_time.h"
#include "policy/hedging.h"
#include "policy/retry_budget.h"
#include "policy/return_pacing.h"
#include "policy/returning_caller_detector.h"
#include "policy/service_time_estimate.h"
#include "policy/trunk_reservation.h"

namespace damasktack {

struct BalancerOptions {
  EndpointTableOptions table;
  std::int64_t max_waiting = 4096;
  AdmissionOptions admission;
  TrunkReservationOptions reservation;
  RetryBudgetOptions retries;
  HedgeOptions hedge;
  // Limit on the sends of one call.
  int attempt_limit = 3;
  // See ProxyOptions.
  bool slack_placement = false;
  double return_pacing_factor = 0;
  // Time for which calls wait for a usable endpoint before they are refused.
  Duration no_endpoint_timeout = std::chrono::milliseconds(250);
  // Interval at which one call is sent regardless of the estimated load, if
  // calls wait and none is in flight.
  Duration forced_send_interval = std::chrono::milliseconds(50);
};

// Balances calls by the load estimated from this host's own calls and the
// reports on their answers. It is meant for services with many more calls than
// endpoints within the time of one execution.
class ServiceBalancer : public Balancer {
 public:
  ServiceBalancer(BalancerOptions options, std::uint64_t seed);

  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now) override;
  void Offer(const CallOffer& offer, TimePoint now, Decisions& out) override;
  bool Withdraw(CallToken token, TimePoint now) override;
  AfterSend Finish(const CallOffer& offer,
                   const SendEnd& end,
                   TimePoint now,
                   Decisions& out) override;
  HedgeDecision DecideHedge(const HedgeRequest& request,
                            TimePoint now) override;
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
    table_.OnSignals(endpoint, signals, asked_at, now);
  }
  void OnProbeSignals(EndpointIndex endpoint,
                      const EndpointSignals& signals,
                      TimePoint now) override {
    table_.OnProbeSignals(endpoint, signals, now);
  }
  std::optional<double> RateLimit(EndpointIndex endpoint) const override {
    return table_.RateLimit(endpoint);
  }
  void OnPeerRateLimit(const EndpointProcess& endpoint,
                       std::optional<double> rate_limit,
                       TimePoint stated_at) override {
    table_.OnPeerRateLimit(endpoint, rate_limit, stated_at);
  }
  void OnPeerDrain(const EndpointId& id, TimePoint now) override;
  void Tick(TimePoint now, Decisions& out) override;
  std::optional<EndpointIndex> NextProbe(TimePoint now) override;
  bool probes_while_idle() const override { return true; }
  void ProbeFailed(EndpointIndex endpoint,
                   SendResult result,
                   TimePoint now,
                   Decisions& out) override;

  const EndpointSpec& endpoint(EndpointIndex index) const override;
  std::optional<EndpointIndex> FindEndpoint(
      const EndpointId& id) const override {
    return table_.Find(id);
  }
  std::vector<EndpointChange> TakeChanges() override {
    return table_.TakeChanges();
  }
  std::size_t waiting() const override;
  BalancerStatus Status(TimePoint now) const override;

 private:
  void Admit(WaitingCall call, TimePoint now, Decisions& out);
  void ProcessQueue(TimePoint now, Decisions& out);
  void RejectUnservable(TimePoint now, Decisions& out);
  // Grants a dispatch credit to each urgency that has waited too long for one.
  void GrantFloorCredits(TimePoint now);
  bool SendNext(TimePoint now, Decisions& out);
  bool SendDespiteLoad(TimePoint now, Decisions& out);
  std::optional<EndpointIndex> ChooseEndpoint(const WaitingCall& call,
                                              bool has_credit,
                                              TimePoint now);
  void Send(const WaitingCall& call,
            EndpointIndex endpoint,
            TimePoint now,
            Decisions& out);
  // Whether the returns of the call's route are paced.
  bool IsPaced(const CallOffer& offer) const;
  // Returns the paced delay for a refused call; zero if it is not paced.
  Duration PacedRetryAfter(const CallOffer& offer, TimePoint now);
  bool HasPrecedence(Urgency urgency) const;
  int AttemptLimit(const CallOffer& offer) const;
  bool MayRetry(const CallOffer& offer, const SendEnd& end, TimePoint now);
  void Learn(const CallOffer& offer, const SendEnd& end, TimePoint now);
  // Network round-trip time to the endpoint.
  Duration RoundTripTo(EndpointIndex endpoint) const;
  Duration MinServiceTime(Urgency urgency) const;
  bool HasEndpointTimeoutPassed(TimePoint now) const;
  void UpdateUnusableSince(TimePoint now);

  BalancerOptions options_;
  Random random_;
  EndpointTable table_;
  AdmissionQueue queue_;
  TrunkReservation reservation_;
  RetryBudget retries_;
  Hedging hedging_;
  ReturnPacing pacing_;
  ReturningCallerDetector returning_callers_;
  std::array<ServiceTimeEstimate, kUrgencyCount> service_times_;
  ExecutionTime execution_time_;
  // Time of the last dispatch of each urgency, or the time at which it began to
  // wait.
  std::array<TimePoint, kUrgencyCount> last_served_{};
  // Time since which no endpoint has been usable.
  std::optional<TimePoint> unusable_since_;
  TimePoint last_send_;
  std::int64_t in_flight_ = 0;
  std::int64_t hosts_ = 1;
  // Whether the waiting calls of one urgency and customer are ordered by the
  // latest time at which they must start, instead of by arrival.
  bool orders_by_slack_ = false;
  std::uint64_t retries_granted_ = 0;
  std::uint64_t retries_withheld_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_SERVICE_BALANCER_H_
