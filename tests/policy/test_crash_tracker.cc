#include "policy/crash_tracker.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint() + std::chrono::hours(10);
constexpr RequestFingerprint kCulprit{1};
constexpr RequestFingerprint kBystander{2};
constexpr std::uint64_t kSeed = 7;

EndpointProcess Endpoint(int n) {
  return {EndpointId("e" + std::to_string(n)), {}};
}

// Records the end of an endpoint that was running the given requests.
void Crash(CrashTracker& tracker,
           int endpoint,
           std::initializer_list<RequestFingerprint> requests,
           TimePoint at) {
  for (const RequestFingerprint it : requests) {
    tracker.Suspect({it, Endpoint(endpoint), at});
  }
  tracker.Confirm(Endpoint(endpoint));
}

Suspicion SuspicionOf(CrashTracker& tracker,
                      RequestFingerprint it,
                      TimePoint now) {
  return tracker.Judge(it, now).suspicion;
}

TEST_CASE(
    "three crashes quarantine a request, and each further one extends it") {
  CrashTracker tracker({}, kSeed);
  CHECK(SuspicionOf(tracker, kCulprit, kStart) == Suspicion::kNone);
  Crash(tracker, 1, {kCulprit}, kStart);
  Crash(tracker, 2, {kCulprit}, kStart);
  CHECK(SuspicionOf(tracker, kCulprit, kStart) == Suspicion::kSuspected);
  Crash(tracker, 3, {kCulprit}, kStart);
  const RequestJudgement third = tracker.Judge(kCulprit, kStart);
  CHECK(third.suspicion == Suspicion::kQuarantined);
  CHECK(third.retry_after >= seconds(60));
  CHECK(third.retry_after <= seconds(90));
  Crash(tracker, 4, {kCulprit}, kStart);
  CHECK(tracker.Judge(kCulprit, kStart).retry_after == 2 * third.retry_after);
}

// Guards against the quarantine of a request that a caller repeats while
// endpoints are overloaded: endpoints reset connections when they are full, and
// answers get lost.
TEST_CASE("broken calls whose endpoints are alive do not quarantine") {
  CrashTracker tracker({}, kSeed);
  for (int n = 0; n < 100; ++n) {
    CHECK(tracker.Suspect({kBystander, Endpoint(n), kStart}) ==
          SuspectStep::kCheck);
    CHECK(SuspicionOf(tracker, kBystander, kStart) == Suspicion::kSuspected);
    tracker.Dismiss(Endpoint(n));
  }
  CHECK(SuspicionOf(tracker, kBystander, kStart) == Suspicion::kNone);
  CHECK(tracker.empty());
}

// Guards against the quarantine of a request that is repeated and is each time
// at an endpoint that another request crashes.
TEST_CASE("a crash that is explained by another request does not count") {
  CrashTracker tracker({}, kSeed);
  for (int n = 0; n < 3; ++n) {
    Crash(tracker, n, {kCulprit, kBystander}, kStart + seconds(n));
  }
  Crash(tracker, 3, {kCulprit}, kStart + seconds(3));
  const TimePoint now = kStart + seconds(4);
  CHECK(SuspicionOf(tracker, kCulprit, now) == Suspicion::kQuarantined);
  CHECK(SuspicionOf(tracker, kBystander, now) == Suspicion::kSuspected);
  // Crashes without the other request count.
  for (int n = 4; n < 7; ++n) {
    Crash(tracker, n, {kBystander}, now);
  }
  CHECK(SuspicionOf(tracker, kBystander, now) == Suspicion::kQuarantined);
}

TEST_CASE(
    "an answer clears a request of earlier crashes that are reported later") {
  CrashTracker tracker({}, kSeed);
  Crash(tracker, 1, {kBystander}, kStart);
  Crash(tracker, 2, {kBystander}, kStart);
  CHECK(tracker.Clear({kBystander, kStart + seconds(1)}, kStart + seconds(1)) ==
        2);
  CHECK(SuspicionOf(tracker, kBystander, kStart + seconds(1)) ==
        Suspicion::kNone);
  CHECK(!tracker.Add({kBystander, Endpoint(3), kStart}, kStart + seconds(1)));
  CHECK(tracker.Add({kBystander, Endpoint(3), kStart + seconds(2)},
                    kStart + seconds(2)));
}

TEST_CASE("a quarantine ends with a trial of one call at a time") {
  CrashTracker tracker({}, kSeed);
  for (int n = 0; n < 3; ++n) {
    Crash(tracker, n, {kCulprit}, kStart);
  }
  const TimePoint end = kStart + tracker.Judge(kCulprit, kStart).retry_after;
  const RequestJudgement trial = tracker.Judge(kCulprit, end);
  CHECK(trial.suspicion == Suspicion::kSuspected);
  CHECK(trial.is_trial);
  CHECK(SuspicionOf(tracker, kCulprit, end) == Suspicion::kQuarantined);
  SUBCASE("a crash renews it") {
    Crash(tracker, 3, {kCulprit}, end);
    CHECK(tracker.Judge(kCulprit, end + seconds(30)).retry_after > seconds(60));
  }
  SUBCASE("an answer ends it") {
    tracker.Clear({kCulprit, end}, end);
    CHECK(SuspicionOf(tracker, kCulprit, end) == Suspicion::kNone);
  }
}

TEST_CASE("a crash that several calls and hosts observe counts once") {
  CrashTracker tracker({}, kSeed);
  Crash(tracker, 1, {kCulprit}, kStart);
  CHECK(!tracker.Add({kCulprit, Endpoint(1), kStart + milliseconds(300)},
                     kStart + milliseconds(300)));
  CHECK(tracker.CountCrashes(kCulprit) == 1);
  // A late observation by a bystander is new and needs no check.
  CHECK(tracker.Suspect({kBystander, Endpoint(1),
                         kStart + milliseconds(400)}) == SuspectStep::kShare);
  CHECK(tracker.CountCrashes(kBystander) == 1);
  // The same endpoint has restarted under its id and crashes again.
  CHECK(tracker.Add({kCulprit, Endpoint(1), kStart + seconds(3)},
                    kStart + seconds(3)));
  CHECK(tracker.CountCrashes(kCulprit) == 2);
}

TEST_CASE("crashes are forgotten") {
  CrashTracker tracker({}, kSeed);
  for (int n = 0; n < 3; ++n) {
    Crash(tracker, n, {kCulprit}, kStart);
  }
  CHECK(SuspicionOf(tracker, kCulprit, kStart + std::chrono::hours(2)) ==
        Suspicion::kNone);
  CHECK(tracker.empty());
}

// In any order of events: memory stays within the options, a request without
// three confirmed crashes is never quarantined, and one that was the only
// suspect of three crashes always is.
TEST_CASE("a quarantine requires crashes, in any order of events") {
  rc::check([] {
    CrashTrackerOptions options;
    options.max_crashes = 24;
    options.max_unconfirmed = 6;
    options.max_suspects = 4;
    CrashTracker tracker(options, kSeed);
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 120);
    for (int n = 0; n < steps; ++n) {
      now += milliseconds(*rc::gen::inRange(0, 1500));
      const EndpointProcess endpoint = Endpoint(*rc::gen::inRange(0, 8));
      const RequestFingerprint request{*rc::gen::inRange<std::uint64_t>(1, 6)};
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          tracker.Confirm(endpoint);
          break;
        case 1:
          tracker.Dismiss(endpoint);
          break;
        case 2:
          tracker.Clear({request, now}, now);
          RC_ASSERT(tracker.CountCrashes(request) == 0U);
          break;
        case 3:
          tracker.Add({request, endpoint, now}, now);
          break;
        default:
          tracker.Suspect({request, endpoint, now});
      }
      RC_ASSERT(tracker.crashes() <= options.max_crashes);
      const Suspicion judged = tracker.Judge(request, now).suspicion;
      const std::size_t crashes = tracker.CountCrashes(request);
      if (judged == Suspicion::kQuarantined) {
        RC_ASSERT(crashes >= options.crashes_to_quarantine);
      }
      if (judged == Suspicion::kNone) {
        RC_ASSERT(crashes == 0U);
      }
    }
    constexpr RequestFingerprint kAlone{99};
    for (int n = 20; n < 23; ++n) {
      tracker.Add({kAlone, Endpoint(n), now}, now);
    }
    RC_ASSERT(tracker.Judge(kAlone, now).suspicion == Suspicion::kQuarantined);
  });
}

}  // namespace
}  // namespace damasktack
