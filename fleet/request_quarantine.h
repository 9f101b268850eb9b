#ifndef FLEET_REQUEST_QUARANTINE_H_
#define FLEET_REQUEST_QUARANTINE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "core/token_bucket.h"
#include "fleet/crash_messages.h"
#include "policy/crash_tracker.h"

namespace damasktack {

// Findings of this host that its peers may not have yet.
struct CrashUpdates {
  struct Cleared {
    ClearedRequest request;
    // Number of confirmed crashes in which it was involved.
    std::size_t crashes = 0;
  };

  std::vector<CrashObservation> observations;
  std::vector<Cleared> cleared;

  bool empty() const { return observations.empty() && cleared.empty(); }
};

CrashReport MakeCrashReport(const CrashUpdates& updates, TimePoint now);

// Quarantines requests that crash endpoints, so that they are not sent to more
// endpoints, by the evidence of this host and its peers. Thread-safe.
class RequestQuarantine {
 public:
  // Rate limit and burst of endpoint checks on one host. Bounds the connections
  // for checks and the messages about their results.
  static constexpr double kChecksPerSecond = 20;
  static constexpr double kCheckBurst = 40;

  explicit RequestQuarantine(CrashTrackerOptions options = {});

  // Returns whether any request is suspected. If not, Judge need not be called.
  bool HasSuspects() const { return has_suspects_; }
  // Returns whether a request is suspected or quarantined.
  RequestJudgement Judge(RequestFingerprint request, TimePoint now);

  // Records that the connection of a call to an endpoint broke. If true, the
  // caller must check whether the endpoint process has ended, and report the
  // result by OnEndpointEnded or OnEndpointAlive.
  bool OnBroken(const CrashObservation& observation);
  void OnEndpointEnded(const EndpointProcess& endpoint);
  void OnEndpointAlive(const EndpointProcess& endpoint);
  // Clears a request that an endpoint has answered.
  void OnAnswered(RequestFingerprint request, TimePoint now);

  // Sets a function that runs when there are updates, on the thread that caused
  // them and without the mutex held.
  void SetOnUpdates(std::function<void()> on_updates);
  // Returns and clears the findings of this host since the last call.
  CrashUpdates TakeUpdates();
  // Adds the findings of a peer; returns those that were not known.
  CrashUpdates Take(const CrashReport& report, TimePoint now);
  // Returns the evidence on requests with at least `min_crashes` crashes, those
  // with the most crashes first.
  CrashReport Evidence(std::size_t min_crashes, TimePoint now) const;
  // Returns all evidence on one request.
  std::vector<CrashObservation> ObservationsOf(
      RequestFingerprint request) const;

  // Returns the metrics in the Prometheus text format.
  std::string RenderMetrics() const;

 private:
  // The caller must hold the mutex for the following three.
  void RecordUpdate(const CrashObservation& observation);
  void LogIfQuarantined(const CrashObservation& observation) const;
  void UpdateHasSuspects() { has_suspects_ = !tracker_.empty(); }

  // Calls the function set by SetOnUpdates. The caller must not hold the mutex.
  void NotifyUpdates();

  mutable std::mutex mutex_;
  CrashTracker tracker_;
  TokenBucket checks_{kChecksPerSecond, kCheckBurst};
  CrashUpdates updates_;
  std::function<void()> on_updates_;
  std::atomic<bool> has_suspects_ = false;
  std::uint64_t endpoints_ended_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace damasktack

#endif  // FLEET_REQUEST_QUARANTINE_H_
