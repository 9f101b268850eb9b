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

// What this host has found out and its peers may not know.
struct CrashUpdates {
  struct Cleared {
    ClearedRequest request;
    // Confirmed crashes that spoke against it.
    std::size_t crashes = 0;
  };

  std::vector<CrashObservation> sightings;
  std::vector<Cleared> cleared;

  bool empty() const { return sightings.empty() && cleared.empty(); }
};

CrashReport MakeCrashReport(const CrashUpdates& news, TimePoint now);

// Keeps requests that crash endpoints from being sent to more of them, on
// evidence of this host and of its peers. Safe to use from several threads.
class RequestQuarantine {
 public:
  // Endpoints that one host checks a second, and at once: what bounds its
  // connections for checks and its messages.
  static constexpr double kChecksPerSecond = 20;
  static constexpr double kCheckBurst = 40;

  explicit RequestQuarantine(CrashTrackerOptions options = {});

  // False where no request is suspected, so that there is nothing to judge.
  bool HasSuspects() const { return has_suspects_; }
  RequestJudgement Judge(RequestFingerprint request, TimePoint now);

  // A call to an endpoint broke. True where the caller is to find out whether
  // the endpoint has ended, and to tell the outcome by one of the next two.
  bool OnBroken(const CrashObservation& sighting);
  void OnEndpointEnded(const EndpointProcess& endpoint);
  void OnEndpointAlive(const EndpointProcess& endpoint);
  void OnAnswered(RequestFingerprint request, TimePoint now);

  // Runs on the thread that brought news, outside the lock.
  void SetOnUpdates(std::function<void()> on_news);
  // News since the last call.
  CrashUpdates TakeUpdates();
  // Takes in what a peer has found out; returns what of it was news.
  CrashUpdates Take(const CrashReport& report, TimePoint now);
  // Evidence on requests with `least` crashes or more, those with most first.
  CrashReport Evidence(std::size_t least, TimePoint now) const;
  // All evidence on one request.
  std::vector<CrashObservation> ObservationsOf(
      RequestFingerprint request) const;

  // The Prometheus text format.
  std::string RenderMetrics() const;

 private:
  // The caller holds the lock in these.
  void RecordUpdate(const CrashObservation& sighting);
  void LogWhereQuarantined(const CrashObservation& sighting) const;
  void UpdateHasSuspects() { has_suspects_ = !ledger_.empty(); }

  void NotifyUpdates();

  mutable std::mutex mutex_;
  CrashTracker ledger_;
  TokenBucket checks_{kChecksPerSecond, kCheckBurst};
  CrashUpdates news_;
  std::function<void()> on_news_;
  std::atomic<bool> has_suspects_ = false;
  std::uint64_t endpoints_ended_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace damasktack

#endif  // FLEET_REQUEST_QUARANTINE_H_
