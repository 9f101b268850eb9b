#ifndef POLICY_MEASURED_ENDPOINTS_H_
#define POLICY_MEASURED_ENDPOINTS_H_

#include <optional>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/random.h"
#include "policy/balancer.h"
#include "policy/cold_endpoints.h"
#include "policy/cold_slowdown.h"
#include "policy/endpoint_limits.h"
#include "policy/endpoint_measure.h"
#include "policy/endpoint_preference.h"
#include "policy/endpoint_process.h"
#include "policy/endpoint_roster.h"
#include "policy/execution_profile.h"
#include "policy/measured_options.h"

namespace damasktack {

// An endpoint, evaluated for one more call.
struct MeasuredCandidate {
  EndpointIndex index = 0;
  // Expected time from now to the end of the call.
  Duration finish{};
  // Sort key: `finish` plus the costs of another zone and of failures.
  Duration cost{};
  double calls = 0;
  double slots = 1;
  // Execution time relative to the usual one.
  double pace = 1;
  bool is_fresh = false;
  // Whether a fresh report shows a free slot and a usual execution time, so
  // that no further probes are needed.
  bool is_good = false;

  // Returns the fraction of the slots in use with one more call.
  double FillAfterSend() const { return (calls + 1) / slots; }
  bool HasFreeSlot() const { return calls + 1 <= slots; }
};

// What the end of a send shows about the execution time of its route.
struct AnswerObservation {
  // Whether the send was answered by an endpoint of usual pace throughout.
  bool has_usual_pace = false;
  // Execution time divided by the one expected for the service; null if the
  // endpoint was not known to be of usual pace, or queued the call.
  std::optional<double> relative_time;
};

// The endpoints of a service, as known to one host: the published list, the
// last reports, the calls sent since, and the learned execution times.
class MeasuredEndpoints {
 public:
  // Whether endpoints without a fresh report, for which only averages are
  // known, are candidates as well.
  enum class CandidateSet : std::uint8_t { kAll, kFresh };

  explicit MeasuredEndpoints(const MeasuredBalancerOptions& options);

  // `hosts` is the number of entry hosts that share the endpoints.
  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now);
  void SetHostNumber(const HostNumber& host_number) {
    cold_.SetHostNumber(host_number);
  }

  // Initializes the usual execution time from the first call's objective.
  void GuessUsualTime(const CallOffer& offer);
  void OnSend(CallToken token, const MeasuredCandidate& to, TimePoint now);
  AnswerObservation OnSendEnd(const SendEnd& end, TimePoint now);
  // Records that the endpoint of a send in flight has been slow meanwhile.
  void OnSlowSend(CallToken token);
  void OnReport(EndpointIndex endpoint,
                const EndpointReport& report,
                TimePoint now);
  // Apply the signals in the endpoint's answer to a call, sent at `asked_at`,
  // or to a probe.
  void OnSignals(EndpointIndex endpoint,
                 const EndpointSignals& signals,
                 TimePoint asked_at,
                 TimePoint now) {
    limits_.OnAnswer(endpoint, signals, asked_at, now);
    HandleLeaving(endpoint, signals, now);
  }
  void OnProbeSignals(EndpointIndex endpoint,
                      const EndpointSignals& signals,
                      TimePoint now) {
    limits_.OnProbeAnswer(endpoint, signals, now);
    HandleLeaving(endpoint, signals, now);
  }
  std::optional<double> RateLimit(EndpointIndex endpoint) const {
    return limits_.rate_limit(endpoint);
  }
  void OnPeerRateLimit(const EndpointProcess& endpoint,
                       std::optional<double> rate_limit,
                       TimePoint stated_at);
  void OnProbe(EndpointIndex endpoint, TimePoint now);
  // Handles a probe that returned no report.
  void OnProbeFailed(EndpointIndex endpoint, SendResult result, TimePoint now);
  void OnPeerDrain(const EndpointId& id, TimePoint now);
  std::vector<EndpointChange> TakeChanges();

  MeasuredCandidate Evaluate(EndpointIndex index, TimePoint now) const;
  // Returns the endpoint with the lowest cost for the call; null if none can
  // accept it.
  std::optional<MeasuredCandidate> Best(const WaitingCall& call,
                                        CandidateSet candidates,
                                        TimePoint now,
                                        Random& random);
  // Returns the endpoints with a fresh report that can accept the call and
  // serve without signs of failure.
  std::vector<MeasuredCandidate> FreshCandidates(const WaitingCall& call,
                                                 TimePoint now) const;
  // Returns whether a usable endpoint is in a region where the call may run;
  // true if it may run anywhere.
  bool HasEndpointInRegionsOf(const WaitingCall& call) const;
  // Returns the first time at which the stated limits allow the call to some
  // endpoint; `latest` if that is not earlier, null without an endpoint in its
  // regions.
  std::optional<TimePoint> AvailableAt(const WaitingCall& call,
                                       TimePoint now,
                                       TimePoint latest) const;
  // Returns whether a fresh report of the endpoint could allow the call there.
  bool IsProbeUseful(const WaitingCall& call,
                     EndpointIndex index,
                     TimePoint now) const {
    return IsAllowed(call, index) && limits_.CanAcceptCall(index, now) &&
           cold_.IsProbeUseful(index, now);
  }
  // Evaluates an endpoint without a fresh report for a probe. The cost is
  // reduced for an endpoint that has just joined and is in this host's first
  // preference group.
  MeasuredCandidate EvaluateForProbe(EndpointIndex index, TimePoint now) const;

  // Returns the basis for sending a call to a cold endpoint; null for other
  // endpoints.
  std::optional<ColdBasis> ColdBasisOf(const MeasuredCandidate& candidate,
                                       TimePoint now) const;

  // Returns whether the endpoints send reports at all.
  bool AreReporting() const;
  std::span<const EndpointIndex> usable() const { return roster_.usable(); }
  const EndpointMeasure& measure(EndpointIndex index) const {
    return measures_[index];
  }
  const EndpointSpec& spec(EndpointIndex index) const { return specs_[index]; }
  // Returns the index of a listed endpoint; null if it is not listed.
  std::optional<EndpointIndex> Find(const EndpointId& id) const;
  bool IsFresh(EndpointIndex index, TimePoint now) const {
    return measures_[index].IsFresh(now, options_.fresh);
  }
  // Returns the pace of the endpoint if a recent report says it, whose data is
  // younger than `age`.
  std::optional<double> PaceSince(EndpointIndex index,
                                  Duration age,
                                  TimePoint now) const;
  // Returns the execution time at an endpoint that is hardly used.
  Duration usual_time() const { return profile_.usual(); }
  std::vector<EndpointStatus> Status(TimePoint now) const;

 private:
  // State of the endpoint, as known when a call was sent there.
  struct SentCall {
    double fill = 0;
    double pace = 1;
    bool is_fresh = false;
    // The endpoint was slow at some time since.
    bool was_slow = false;
    // Expected time of the call at the same pace if the endpoint were warm; set
    // only if it was cold.
    std::optional<Duration> warm_time;
  };

  void HandleLeaving(EndpointIndex endpoint,
                     const EndpointSignals& signals,
                     TimePoint now) {
    if (signals.leaving) {
      roster_.OnLeaving(endpoint, now);
    }
  }
  // Removes the processes that are no longer listed; returns whether there were
  // any.
  bool Unlist(const ServiceSpec& service, TimePoint now);
  void ApplySpec(const EndpointSpec& spec, bool assume_warm, TimePoint now);
  // Adds an endpoint that is not listed yet and returns its index.
  EndpointIndex Add(const EndpointSpec& spec, bool assume_warm, TimePoint now);
  // Whether the call may be sent to the endpoint: it is in a region where the
  // call may run, and is not the one that has just failed.
  bool IsEligible(const WaitingCall& call, EndpointIndex index) const;
  // Whether the endpoint serves and refuses no more calls than the others.
  bool IsReliable(EndpointIndex index, TimePoint now) const;
  // Whether the call may run in the endpoint's region.
  bool IsAllowed(const WaitingCall& call, EndpointIndex index) const;
  bool CanAcceptCall(const MeasuredCandidate& candidate, TimePoint now) const;
  // Whether the endpoint has a stated limit and is not known to be slow or
  // full, so that a call which the limit allows should go there.
  bool IsLimitedAndFree(const MeasuredCandidate& candidate) const;
  void UpdatePreference();
  double PaceOf(EndpointIndex index, TimePoint now) const;
  double CallsAt(EndpointIndex index, TimePoint now) const;
  AnswerObservation Learn(const SendEnd& end, const SentCall& sent);

  const MeasuredBalancerOptions options_;
  std::vector<EndpointSpec> specs_;
  // Index of the listed process for each id. A new list is compared with the
  // previous one by id, so that its cost is proportional to the changes:
  // comparing all pairs of 3,000 endpoints blocked a host with a tenth of a
  // core for half a second.
  std::unordered_map<EndpointId, EndpointIndex> listed_;
  // Ids of processes that are no longer listed and whose index has not been
  // reused. A process may start again under such an id.
  std::unordered_multiset<EndpointId> unlisted_ids_;
  std::vector<EndpointMeasure> measures_;
  ColdEndpoints cold_;
  EndpointLimits limits_;
  EndpointPreference preference_;
  EndpointRoster roster_;
  MeasurePrior prior_;
  ExecutionProfile profile_;
  ColdSlowdown cold_slowdown_;
  // Calls in flight.
  std::unordered_map<CallToken, SentCall> sent_;
  std::optional<TimePoint> first_list_at_;
  std::uint64_t reports_ = 0;
  std::uint64_t answers_without_report_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_MEASURED_ENDPOINTS_H_
