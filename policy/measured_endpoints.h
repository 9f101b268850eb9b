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

// An endpoint as a place for one more call.
struct MeasuredCandidate {
  EndpointIndex index = 0;
  // From now to the end of the call.
  Duration finish{};
  // For ordering: `finish` with what another zone and failures cost.
  Duration cost{};
  double calls = 0;
  double slots = 1;
  double pace = 1;
  bool is_fresh = false;
  // As good as any: free, at its usual pace, and known to be so.
  bool is_good = false;

  // The part of the slots that is in use with one more call.
  double FillAfterSend() const { return (calls + 1) / slots; }
  bool HasFreeSlot() const { return calls + 1 <= slots; }
};

// What one host believes of the endpoints of a service: who is listed, what
// the last reports said, what has been sent since, how long work takes there.
class MeasuredEndpoints {
 public:
  // Whether also endpoints count of which only what is usual is known.
  enum class CandidateSet : std::uint8_t { kAll, kFresh };

  explicit MeasuredEndpoints(const MeasuredBalancerOptions& options);

  // `hosts` is the number of entry hosts that share the endpoints.
  void SetService(const ServiceSpec& service,
                  std::int64_t hosts,
                  TimePoint now);
  void SetHostNumber(const HostNumber& seat) { cold_.SetHostNumber(seat); }

  // What is usual is guessed from the first call's objective.
  void GuessUsualTime(const CallOffer& offer);
  void OnSend(CallToken token, const MeasuredCandidate& to, TimePoint now);
  void OnSendEnd(const SendEnd& end, TimePoint now);
  void OnReport(EndpointIndex endpoint,
                const EndpointReport& report,
                TimePoint now);
  // The endpoint's answer to a call, sent at `asked_at`, or to a probe.
  void OnSignals(EndpointIndex endpoint,
                 const EndpointSignals& signals,
                 TimePoint asked_at,
                 TimePoint now) {
    restraints_.OnAnswer(endpoint, signals, asked_at, now);
    NoteLeaving(endpoint, signals, now);
  }
  void OnProbeSignals(EndpointIndex endpoint,
                      const EndpointSignals& signals,
                      TimePoint now) {
    restraints_.OnProbeAnswer(endpoint, signals, now);
    NoteLeaving(endpoint, signals, now);
  }
  std::optional<double> RateLimit(EndpointIndex endpoint) const {
    return restraints_.rate_limit(endpoint);
  }
  void OnPeerRateLimit(const EndpointProcess& endpoint,
                       std::optional<double> rate_limit,
                       TimePoint stated_at);
  void OnProbe(EndpointIndex endpoint, TimePoint now);
  void OnProbeFailed(EndpointIndex endpoint, SendResult result, TimePoint now);
  void OnPeerDrain(const EndpointId& id, TimePoint now);
  std::vector<EndpointChange> TakeChanges();

  MeasuredCandidate Evaluate(EndpointIndex index, TimePoint now) const;
  // The cheapest for the call; null without any that may take it.
  std::optional<MeasuredCandidate> Best(const WaitingCall& call,
                                        CandidateSet among,
                                        TimePoint now,
                                        Random& random);
  // Whether some endpoint that takes calls is in a region of the call's; true
  // where it may go anywhere.
  bool HasEndpointInRegionsOf(const WaitingCall& call) const;
  // When the first endpoint that may get the call takes one more by what the
  // endpoints have asked for; `latest` where none does before, null where there
  // is no endpoint.
  std::optional<TimePoint> AvailableAt(const WaitingCall& call,
                                       TimePoint now,
                                       TimePoint latest) const;
  // Whether a report of the endpoint could bring it the call.
  bool IsProbeUseful(const WaitingCall& call,
                     EndpointIndex index,
                     TimePoint now) const {
    return IsAllowed(call, index) && restraints_.CanAcceptCall(index, now) &&
           cold_.IsProbeUseful(index, now);
  }
  // For a look at an endpoint that is not fresh: its cost, less where it has
  // joined and this host is to turn to it later.
  MeasuredCandidate EvaluateForProbe(EndpointIndex index, TimePoint now) const;

  // What a call that goes to a cold endpoint rests on; null for others.
  std::optional<ColdBasis> ColdBasisOf(const MeasuredCandidate& candidate,
                                       TimePoint now) const;

  // Whether the endpoints report at all.
  bool AreReporting() const;
  std::span<const EndpointIndex> usable() const { return roster_.usable(); }
  const EndpointMeasure& measure(EndpointIndex index) const {
    return measures_[index];
  }
  const EndpointSpec& spec(EndpointIndex index) const { return specs_[index]; }
  bool IsFresh(EndpointIndex index, TimePoint now) const {
    return measures_[index].IsFresh(now, options_.fresh);
  }
  // An execution at an endpoint that is hardly used.
  Duration usual_time() const { return profile_.usual(); }
  std::vector<EndpointStatus> Status(TimePoint now) const;

 private:
  // What was believed of the endpoint when a call was sent there.
  struct SentCall {
    double fill = 0;
    double pace = 1;
    bool is_fresh = false;
    // What it would take at that pace if the endpoint is warm; set where it is
    // not.
    std::optional<Duration> warm_time;
  };

  void NoteLeaving(EndpointIndex endpoint,
                   const EndpointSignals& signals,
                   TimePoint now) {
    if (signals.leaving) {
      roster_.OnLeaving(endpoint, now);
    }
  }
  // Whether any that was listed is so no more.
  bool Unlist(const ServiceSpec& service, TimePoint now);
  void TakeIn(const EndpointSpec& spec, bool as_warm, TimePoint now);
  // A place for an endpoint that is not listed yet.
  EndpointIndex Add(const EndpointSpec& spec, bool as_warm, TimePoint now);
  // Whether the call may be worked on in the endpoint's region.
  bool IsAllowed(const WaitingCall& call, EndpointIndex index) const;
  bool CanAcceptCall(const MeasuredCandidate& candidate, TimePoint now) const;
  // Whether it has a limit that lets a call through now, and is not known to be
  // slow or full.
  bool IsDue(const MeasuredCandidate& candidate) const;
  void DrawPreference();
  double PaceOf(EndpointIndex index, TimePoint now) const;
  double CallsAt(EndpointIndex index, TimePoint now) const;
  void Learn(const SendEnd& end, const SentCall& sent);

  const MeasuredBalancerOptions options_;
  std::vector<EndpointSpec> specs_;
  // The process that is listed under an id. A list is compared with the one
  // before by it, so that a change costs what it changes: compared each with
  // each, 3,000 endpoints held a host of a tenth of a core up for half a
  // second.
  std::unordered_map<EndpointId, EndpointIndex> listed_;
  // Of those that are listed no more and whose place nobody else has taken;
  // a process may start again under such an id.
  std::unordered_multiset<EndpointId> unlisted_ids_;
  std::vector<EndpointMeasure> measures_;
  ColdEndpoints cold_;
  EndpointLimits restraints_;
  EndpointPreference preference_;
  EndpointRoster roster_;
  MeasurePrior prior_;
  ExecutionProfile profile_;
  ColdSlowdown cold_pace_;
  // Calls at endpoints.
  std::unordered_map<CallToken, SentCall> sent_;
  std::optional<TimePoint> first_list_at_;
  std::uint64_t reports_ = 0;
  std::uint64_t silent_answers_ = 0;
};

}  // namespace damasktack

#endif  // POLICY_MEASURED_ENDPOINTS_H_
