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

// An endpoint's process ended while it worked on the request.
struct CrashObservation {
  RequestFingerprint request;
  EndpointProcess endpoint;
  // By this host's clock.
  TimePoint at;

  bool operator==(const CrashObservation&) const = default;
};

// The request was answered by an endpoint: it does not crash what runs it.
struct ClearedRequest {
  RequestFingerprint request;
  // By this host's clock.
  TimePoint at;

  bool operator==(const ClearedRequest&) const = default;
};

struct CrashTrackerOptions {
  // Endpoints that have to end under a request before it is quarantined.
  std::size_t crashes_to_quarantine = 3;
  // From the last crash; doubled with each further one.
  Duration quarantine = std::chrono::seconds(60);
  Duration longest_quarantine = std::chrono::hours(1);
  // Two crashes of one process that lie less than this apart are one, seen by
  // two calls.
  Duration same_crash = std::chrono::seconds(1);
  // Evidence is forgotten after this.
  Duration memory = std::chrono::hours(2);
  // Crashes that are remembered, and those of them that wait for a check.
  std::size_t max_crashes = 256;
  std::size_t max_unconfirmed = 64;
  // Requests remembered for one crash: those that its endpoint worked on.
  std::size_t max_suspects = 64;
};

// What a broken call asks of the ledger's owner.
enum class SuspectStep : std::uint8_t {
  kNone,
  // Find out whether the endpoint has ended; then Confirm or Dismiss.
  kCheck,
  // The endpoint is known to have ended: the sighting is one to pass on.
  kShare,
};

enum class Suspicion : std::uint8_t {
  kNone,
  // Endpoints have ended under it, or a quarantined request is on trial. It may
  // be sent, but not a second time for the same call.
  kSuspected,
  kQuarantined,
};

struct RequestJudgement {
  Suspicion suspicion = Suspicion::kNone;
  // Until a quarantined request may be tried again.
  Duration retry_after{};
  // The quarantine has ended, and this call is to show whether it should.
  bool is_trial = false;
};

// Finds the requests that crash the endpoints that run them, from calls whose
// endpoints ended before they answered.
//
// A crash breaks all calls that the endpoint has in hand, so each of them is a
// suspect. The culprit is told from its bystanders by three rules: a request
// that any endpoint answers is cleared; a quarantine takes several crashes; and
// a crash that a request with more crashes explains does not count against the
// others.
//
// Pure; memory is bounded by the options.
class CrashTracker {
 public:
  CrashTracker(CrashTrackerOptions options, std::uint64_t seed);

  // A call to the endpoint broke.
  SuspectStep Suspect(const CrashObservation& sighting);
  // Returns the sightings that this confirms.
  std::vector<CrashObservation> Confirm(const EndpointProcess& endpoint);
  void Dismiss(const EndpointProcess& endpoint);

  // A sighting that another host has confirmed. False where it is no news.
  bool Add(const CrashObservation& sighting, TimePoint now);
  // Returns how many confirmed crashes spoke against the request.
  std::size_t Clear(const ClearedRequest& cleared, TimePoint now);

  // Whether the request may be sent now. Grants a trial where the quarantine
  // has ended, to one call at a time.
  RequestJudgement Judge(RequestFingerprint request, TimePoint now);

  // Confirmed crashes under the request, whoever is to blame.
  std::size_t CountCrashes(RequestFingerprint request) const;
  // Whether enough crashes speak against the request and nobody else.
  bool IsCulprit(RequestFingerprint request) const;
  std::vector<CrashObservation> ObservationsOf(
      RequestFingerprint request) const;
  // Requests with `least` confirmed crashes or more, those with most first.
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

  // What the confirmed crashes say of one request.
  struct Record {
    std::size_t crashes = 0;
    TimePoint last_crash;
  };

  bool IsSuspect(RequestFingerprint request) const {
    return mentions_.contains(request);
  }
  // This, RemoveSuspect and RemoveCrashes keep `mentions_` in step with the
  // crashes.
  void AddSuspect(Crash& crash, RequestFingerprint request);
  bool RemoveSuspect(Crash& crash, RequestFingerprint request);
  template <typename Predicate>
  void RemoveCrashes(Predicate is_removed);

  Crash* Find(const EndpointProcess& endpoint, TimePoint at);
  // Null where there is no room.
  Crash* FindOrAdd(const CrashObservation& sighting, bool is_confirmed);
  Record RecordOf(RequestFingerprint request) const;
  // Crashes that no other request explains better.
  std::size_t CountUnexplained(RequestFingerprint request,
                               std::size_t crashes) const;
  Duration QuarantineAfter(std::size_t crashes) const;
  std::size_t CountUnconfirmed() const;
  bool IsClearedSince(const CrashObservation& sighting) const;
  void Forget(TimePoint now);

  const CrashTrackerOptions options_;
  // Between 1 and 1.5: hosts end a quarantine at different times, so that the
  // first trial is over before the next host tries.
  double stretch_ = 1;
  std::deque<Crash> crashes_;
  // Crashes that name each suspect. Every request is looked up here while
  // anything is suspected, and hardly any is found.
  std::unordered_map<RequestFingerprint, std::size_t> mentions_;
  std::deque<ClearedRequest> cleared_;
  // When each request was last on trial here.
  std::unordered_map<RequestFingerprint, TimePoint> trials_;
};

}  // namespace damasktack

#endif  // POLICY_CRASH_TRACKER_H_
