#ifndef POLICY_MEASURED_BALANCER_H_
#define POLICY_MEASURED_BALANCER_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "core/token_bucket.h"
#include "policy/admission_queue.h"
#include "policy/balancer.h"
#include "policy/endpoint_measure.h"
#include "policy/endpoint_preference.h"
#include "policy/endpoint_roster.h"
#include "policy/execution_profile.h"
#include "policy/retry_budget.h"

namespace damasktack {

struct MeasuredBalancerOptions {
  // This host and its zone.
  HostId host;
  ZoneId zone;
  AdmissionOptions admission;
  RetryBudgetOptions retries;
  // Sends of one call at most, where its route allows more.
  int most_sends = 3;

  // A report this young is taken as it is: within it a host's peers place less
  // than one call at an endpoint.
  Duration fresh = std::chrono::milliseconds(40);
  // Endpoints change their pace about twice a second.
  Duration memory = std::chrono::milliseconds(250);
  // How long a decision waits for probes: twice the way to another zone and
  // back, and some work at both ends. As much again for each first look that is
  // overdue, up to `most_patience`: then this host is short of processor time,
  // and further probes would make it shorter.
  Duration probe_patience = std::chrono::milliseconds(8);
  Duration most_patience = std::chrono::milliseconds(40);
  // Probes of a first look, near ones first, and of each further one.
  std::size_t first_probes = 3;
  std::size_t further_probes = 6;
  // With fresh reports of so many a call that is on time at the best of them
  // goes there: where most are cold or slow, a look at all others cost 40
  // probes and 30 ms for one call.
  std::size_t enough = 15;
  // Probes of one endpoint a second that all hosts together may send. Each host
  // has its part by the size of the fleet; `probe_part` leaves room for the
  // first probes of hosts that start anew, and for wrong beliefs of that size.
  double probe_limit = 60;
  double probe_part = 0.75;
  // What is unspent in a quiet time may be used in a bad one: probes of this
  // long, and no fewer than a few calls need at once.
  Duration probe_saving = std::chrono::seconds(5);
  double probe_burst = 15;
  // An endpoint that works no slower than this by the usual pace is as good
  // as any.
  double good_pace = 1.4;
  // The part of its latency objective that a call is held back for a better
  // endpoint. What is refused after longer might have gone elsewhere in time.
  double held_part = 0.125;
  // A call is sent where it would still be on time if it took this much longer
  // than is expected; work varies by about a third.
  double on_time_margin = 1.3;
  EndpointPreferenceOptions preference;
  // Calls wait this long for a usable endpoint before they are refused.
  Duration no_endpoint_patience = std::chrono::milliseconds(150);
};

// Balances by measuring at the moment of the decision, for services whose
// executions take tens of milliseconds and more, on endpoints whose speed
// changes a few times within a second.
//
// The load that it answers: a quarter of the endpoints is several times slower
// than usual at any moment, and which ones changes faster than a host's own
// answers tell. A call that finds no fresh report of a good endpoint has a few
// endpoints probed, near ones first, then more; it goes where it will end
// first, and only where that is on time for its caller. One that nobody can
// serve in time is refused before it has been held for long, so that queues at
// the endpoints stay short for those that come after it.
class MeasuredBalancer : public Balancer {
 public:
  MeasuredBalancer(MeasuredBalancerOptions options, std::uint64_t seed);

  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now) override;
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
  void HearDrain(const EndpointId& id, TimePoint now) override;
  void Tick(TimePoint now, Decisions& out) override;
  std::optional<EndpointIndex> NextProbe(TimePoint now) override;
  bool probes_while_quiet() const override { return false; }
  void ProbeFailed(EndpointIndex endpoint,
                   TimePoint now,
                   Decisions& out) override;
  std::vector<EndpointChange> TakeChanges() override;

  const EndpointSpec& endpoint(EndpointIndex index) const override {
    return specs_[index];
  }
  std::size_t waiting() const override { return queue_.size(); }
  BalancerStatus Status(TimePoint now) const override;

 private:
  struct Candidate {
    EndpointIndex index = 0;
    // From now to the end of the call.
    Duration finish{};
    // For ordering: `finish` with what another zone and failures cost.
    Duration cost{};
    double calls = 0;
    double slots = 1;
    double pace = 1;
    bool is_fresh = false;
    bool is_good = false;

    // The part of the slots that is in use with one more call.
    double FillWithOne() const { return (calls + 1) / slots; }
  };
  // What was believed of the endpoint when a call was sent there.
  struct SentCall {
    double fill = 0;
    double pace = 1;
    bool is_fresh = false;
  };
  // Whether also endpoints count of which only what is usual is known.
  enum class Among : std::uint8_t { kAll, kFresh };
  enum class Step : std::uint8_t { kSend, kRefuse, kWait };
  // What to do with a call, and the endpoint that it goes to or, where it is
  // not sent, the best there is.
  struct Decision {
    Step step = Step::kWait;
    std::optional<Candidate> best;
  };

  Candidate Weigh(EndpointIndex index, TimePoint now) const;
  // The cheapest for the call; null without any.
  std::optional<Candidate> Best(const WaitingCall& call,
                                Among among,
                                TimePoint now);
  // The best of enough fresh reports, where the call is on time there.
  std::optional<Candidate> SettleFor(const WaitingCall& call, TimePoint now);
  Decision Decide(const WaitingCall& call, TimePoint now);
  bool IsOnTime(const WaitingCall& call,
                const Candidate& best,
                TimePoint now) const;
  bool IsLastChance(const WaitingCall& call,
                    const Candidate& best,
                    TimePoint now) const;
  // Whether probes are on their way that a decision should wait for.
  bool AwaitsProbes(TimePoint now) const;
  Duration ProbePatience(TimePoint now) const;
  std::size_t CountFresh(TimePoint now) const;
  // Asks for further probes; false where there is nobody left to probe, or no
  // budget.
  bool Measure(TimePoint now);
  void Admit(WaitingCall call, TimePoint now, Decisions& out);
  void Pump(TimePoint now, Decisions& out);
  bool PumpOne(TimePoint now, Decisions& out);
  void Send(const WaitingCall& call,
            const Candidate& best,
            TimePoint now,
            Decisions& out);
  DecisionBasis BasisOf(const std::optional<Candidate>& best,
                        TimePoint now) const;
  Duration RetryAfter(const CallOffer& offer,
                      const std::optional<Candidate>& best,
                      TimePoint now);
  bool MayRetry(const CallOffer& offer, const SendEnd& end, TimePoint now);
  void OnReport(EndpointIndex endpoint,
                const EndpointReport& report,
                TimePoint now);
  void Learn(const SendEnd& end, const SentCall& sent);
  void WatchUsable(TimePoint now);
  void ShareProbes(std::size_t endpoints, std::int64_t hosts, TimePoint now);
  void DrawPreference();
  std::optional<EndpointIndex> Find(const EndpointSpec& spec) const;
  bool MayMeasure() const;

  MeasuredBalancerOptions options_;
  Random random_;
  std::vector<EndpointSpec> specs_;
  std::vector<EndpointMeasure> measures_;
  EndpointPreference preference_;
  EndpointRoster roster_;
  MeasurePrior prior_;
  AdmissionQueue queue_;
  RetryBudget retries_;
  TokenBucket probe_budget_;
  // To be probed as soon as the owner asks.
  std::vector<EndpointIndex> wanted_probes_;
  ExecutionProfile profile_;
  // Calls at endpoints.
  std::unordered_map<CallToken, SentCall> sent_;
  std::optional<TimePoint> unusable_since_;
  std::optional<TimePoint> first_list_at_;
  // Whether endpoints report at all, by the probes and answers so far.
  std::uint64_t reports_ = 0;
  std::uint64_t silent_answers_ = 0;
  std::uint64_t probes_sent_ = 0;
  std::uint64_t probes_withheld_ = 0;
  std::uint64_t retries_granted_ = 0;
  std::uint64_t retries_withheld_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_MEASURED_BALANCER_H_
