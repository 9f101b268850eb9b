#ifndef POLICY_CRASH_TRACKER_H_
#define POLICY_CRASH_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "core/random.h"
#include "core/request_fingerprint.h"
#include "core/time.h"
#include "policy/endpoint_process.h"

namespace damasktack {

// An endpoint's process ended while it ran the request.
struct CrashObservation {
  RequestFingerprint request;
  EndpointProcess endpoint;
  // By this host's clock.
  TimePoint at;

  bool operator==(const CrashObservation&) const = default;
};

// An endpoint answered the request, so the request does not crash endpoints.
struct ClearedRequest {
  RequestFingerprint request;
  // By this host's clock.
  TimePoint at;

  bool operator==(const ClearedRequest&) const = default;
};

struct CrashTrackerOptions {
  // Crashes of endpoints that ran a request before it is quarantined.
  std::size_t crashes_to_quarantine = 3;
  // Quarantine time from the last crash; it doubles with each further crash.
  Duration quarantine = std::chrono::seconds(60);
  Duration max_quarantine = std::chrono::hours(1);
  // Two crashes of one process within this time are the same crash, observed by
  // two calls.
  Duration same_crash = std::chrono::seconds(1);
  // Time after which crashes are forgotten.
  Duration memory = std::chrono::hours(2);
  // Limits on the remembered crashes and on the unconfirmed ones among them.
  std::size_t max_crashes = 256;
  std::size_t max_unconfirmed = 64;
  // Limit on the requests remembered for one crash; these are the requests that
  // the endpoint was running.
  std::size_t max_suspects = 64;
};

// What the owner must do after a broken call.
enum class SuspectStep : std::uint8_t {
  kNone,
  // Check whether the endpoint's process has ended, then call Confirm or
  // Dismiss.
  kCheck,
  // The endpoint's process is known to have ended: share the observation with
  // other hosts.
  kShare,
};

enum class Suspicion : std::uint8_t {
  kNone,
  // Endpoints have crashed while they ran it, or it is a quarantined request on
  // trial. It may be sent, but only once for the same call.
  kSuspected,
  kQuarantined,
};

struct RequestJudgement {
  Suspicion suspicion = Suspicion::kNone;
  // Time until a quarantined request may be tried again.
  Duration retry_after{};
  // The quarantine has expired, and this call tests whether the request is
  // safe.
  bool is_trial = false;
};

// Detects requests that crash the endpoints that run them, from calls whose
// endpoints ended before they answered.
//
// A crash breaks all calls in flight at the endpoint, so each of them is a
// suspect. Three rules tell the culprit from the bystanders: a request that any
// endpoint answers is cleared; a quarantine requires several crashes; and a
// crash that is explained by a request with more crashes does not count against
// the others.
//
// It has no clock, sockets or threads; memory is bounded by the options.
class CrashTracker {
 public:
  CrashTracker(CrashTrackerOptions options, std::uint64_t seed);

  // Records a broken call to the endpoint and returns the next step.
  SuspectStep Suspect(const CrashObservation& observation);
  // Confirms that the endpoint's process has ended. Returns the observations
  // that are confirmed by this.
  std::vector<CrashObservation> Confirm(const EndpointProcess& endpoint);
  void Dismiss(const EndpointProcess& endpoint);

  // Adds an observation confirmed by another host. Returns false if it is
  // already known, cleared or too old.
  bool Add(const CrashObservation& observation, TimePoint now);
  // Clears the request. Returns the number of confirmed crashes that counted
  // against it.
  std::size_t Clear(const ClearedRequest& cleared, TimePoint now);

  // Returns whether the request may be sent now. After the quarantine has
  // expired, allows one call at a time as a trial.
  RequestJudgement Judge(RequestFingerprint request, TimePoint now);

  // Returns the number of confirmed crashes that involve the request, whichever
  // request caused them.
  std::size_t CountCrashes(RequestFingerprint request) const;
  // Returns whether enough crashes count against the request that no other
  // request explains.
  bool IsCulprit(RequestFingerprint request) const;
  std::vector<CrashObservation> ObservationsOf(
      RequestFingerprint request) const;
  // Returns the requests with at least `least` confirmed crashes, in descending
  // order of crashes.
  std::vector<RequestFingerprint> Suspects(std::size_t least) const;

  bool empty() const { return crashes_.empty(); }
  std::size_t crashes() const { return crashes_.size(); }

 private:
  struct Crash {
    EndpointProcess endpoint;
    TimePoint at;
    bool is_confirmed = false;
    std::vector<RequestFingerprint> suspects;

    bool Has(RequestFingerprint request) const;
  };

  // Summary of the confirmed crashes that involve one request.
  struct Record {
    std::size_t crashes = 0;
    TimePoint last_crash;
  };

  bool IsSuspect(RequestFingerprint request) const {
    return crashes_by_suspect_.contains(request);
  }
  // AddSuspect, RemoveSuspect and RemoveCrashes keep `crashes_by_suspect_`
  // consistent with the crashes.
  void AddSuspect(Crash& crash, RequestFingerprint request);
  bool RemoveSuspect(Crash& crash, RequestFingerprint request);
  template <typename Predicate>
  void RemoveCrashes(Predicate is_removed);

  Crash* Find(const EndpointProcess& endpoint, TimePoint at);
  // Returns null if there is no room.
  Crash* FindOrAdd(const CrashObservation& observation, bool is_confirmed);
  Record RecordOf(RequestFingerprint request) const;
  // Returns the number of crashes that no request with more crashes explains.
  std::size_t CountUnexplained(RequestFingerprint request,
                               std::size_t crashes) const;
  Duration QuarantineAfter(std::size_t crashes) const;
  std::size_t CountUnconfirmed() const;
  bool IsClearedSince(const CrashObservation& observation) const;
  void Forget(TimePoint now);

  const CrashTrackerOptions options_;
  // Factor between 1 and 1.5 on the quarantine time. It differs between hosts,
  // so that the first trial is over before the next host tries.
  double quarantine_factor_ = 1;
  std::deque<Crash> crashes_;
  // Number of crashes for each suspect. While there are suspects, every request
  // is looked up here, and hardly any is found.
  std::unordered_map<RequestFingerprint, std::size_t> crashes_by_suspect_;
  std::deque<ClearedRequest> cleared_;
  // Time of the last trial of each request on this host.
  std::unordered_map<RequestFingerprint, TimePoint> last_trials_;
};

}  // namespace damasktack

#endif  // POLICY_CRASH_TRACKER_H_
