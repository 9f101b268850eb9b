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

// An endpoint that ended, with all requests that it had in hand.
void Crash(CrashTracker& ledger,
           int endpoint,
           std::initializer_list<RequestFingerprint> requests,
           TimePoint at) {
  for (const RequestFingerprint it : requests) {
    ledger.Suspect({it, Endpoint(endpoint), at});
  }
  ledger.Confirm(Endpoint(endpoint));
}

Suspicion Judged(CrashTracker& ledger, RequestFingerprint it, TimePoint now) {
  return ledger.Judge(it, now).suspicion;
}

TEST_CASE("three crashes quarantine a request, for longer with each further") {
  CrashTracker ledger({}, kSeed);
  CHECK(Judged(ledger, kCulprit, kStart) == Suspicion::kNone);
  Crash(ledger, 1, {kCulprit}, kStart);
  Crash(ledger, 2, {kCulprit}, kStart);
  CHECK(Judged(ledger, kCulprit, kStart) == Suspicion::kSuspected);
  Crash(ledger, 3, {kCulprit}, kStart);
  const RequestJudgement third = ledger.Judge(kCulprit, kStart);
  CHECK(third.suspicion == Suspicion::kQuarantined);
  CHECK(third.retry_after >= seconds(60));
  CHECK(third.retry_after <= seconds(90));
  Crash(ledger, 4, {kCulprit}, kStart);
  CHECK(ledger.Judge(kCulprit, kStart).retry_after == 2 * third.retry_after);
}

// Endpoints reset connections when they are full and answers get lost; a
// caller that tries again and again in a bad hour must not be locked out.
TEST_CASE("broken calls whose endpoints are alive do not quarantine") {
  CrashTracker ledger({}, kSeed);
  for (int n = 0; n < 100; ++n) {
    CHECK(ledger.Suspect({kBystander, Endpoint(n), kStart}) ==
          SuspectStep::kCheck);
    CHECK(Judged(ledger, kBystander, kStart) == Suspicion::kSuspected);
    ledger.Dismiss(Endpoint(n));
  }
  CHECK(Judged(ledger, kBystander, kStart) == Suspicion::kNone);
  CHECK(ledger.empty());
}

// A caller asks the same again and again, and each time its call is at an
// endpoint that another request crashes.
TEST_CASE("a crash that another request explains does not count") {
  CrashTracker ledger({}, kSeed);
  for (int n = 0; n < 3; ++n) {
    Crash(ledger, n, {kCulprit, kBystander}, kStart + seconds(n));
  }
  Crash(ledger, 3, {kCulprit}, kStart + seconds(3));
  const TimePoint now = kStart + seconds(4);
  CHECK(Judged(ledger, kCulprit, now) == Suspicion::kQuarantined);
  CHECK(Judged(ledger, kBystander, now) == Suspicion::kSuspected);
  // Crashes of its own count.
  for (int n = 4; n < 7; ++n) {
    Crash(ledger, n, {kBystander}, now);
  }
  CHECK(Judged(ledger, kBystander, now) == Suspicion::kQuarantined);
}

TEST_CASE("an answer clears a request, also of what is told later") {
  CrashTracker ledger({}, kSeed);
  Crash(ledger, 1, {kBystander}, kStart);
  Crash(ledger, 2, {kBystander}, kStart);
  CHECK(ledger.Clear({kBystander, kStart + seconds(1)}, kStart + seconds(1)) ==
        2);
  CHECK(Judged(ledger, kBystander, kStart + seconds(1)) == Suspicion::kNone);
  CHECK(!ledger.Add({kBystander, Endpoint(3), kStart}, kStart + seconds(1)));
  CHECK(ledger.Add({kBystander, Endpoint(3), kStart + seconds(2)},
                   kStart + seconds(2)));
}

TEST_CASE("a quarantine ends with a trial of one call at a time") {
  CrashTracker ledger({}, kSeed);
  for (int n = 0; n < 3; ++n) {
    Crash(ledger, n, {kCulprit}, kStart);
  }
  const TimePoint end = kStart + ledger.Judge(kCulprit, kStart).retry_after;
  const RequestJudgement trial = ledger.Judge(kCulprit, end);
  CHECK(trial.suspicion == Suspicion::kSuspected);
  CHECK(trial.is_trial);
  CHECK(Judged(ledger, kCulprit, end) == Suspicion::kQuarantined);
  SUBCASE("a crash renews it") {
    Crash(ledger, 3, {kCulprit}, end);
    CHECK(ledger.Judge(kCulprit, end + seconds(30)).retry_after > seconds(60));
  }
  SUBCASE("an answer ends it") {
    ledger.Clear({kCulprit, end}, end);
    CHECK(Judged(ledger, kCulprit, end) == Suspicion::kNone);
  }
}

TEST_CASE("one crash that several calls and hosts see counts once") {
  CrashTracker ledger({}, kSeed);
  Crash(ledger, 1, {kCulprit}, kStart);
  CHECK(!ledger.Add({kCulprit, Endpoint(1), kStart + milliseconds(300)},
                    kStart + milliseconds(300)));
  CHECK(ledger.CountCrashes(kCulprit) == 1);
  // A bystander that noticed late is news, and needs no check.
  CHECK(ledger.Suspect({kBystander, Endpoint(1), kStart + milliseconds(400)}) ==
        SuspectStep::kShare);
  CHECK(ledger.CountCrashes(kBystander) == 1);
  // The same endpoint, back under its name, ends again.
  CHECK(ledger.Add({kCulprit, Endpoint(1), kStart + seconds(3)},
                   kStart + seconds(3)));
  CHECK(ledger.CountCrashes(kCulprit) == 2);
}

TEST_CASE("evidence is forgotten") {
  CrashTracker ledger({}, kSeed);
  for (int n = 0; n < 3; ++n) {
    Crash(ledger, n, {kCulprit}, kStart);
  }
  CHECK(Judged(ledger, kCulprit, kStart + std::chrono::hours(2)) ==
        Suspicion::kNone);
  CHECK(ledger.empty());
}

// Whatever comes: what is held stays within the options, a request without
// three confirmed crashes is never quarantined, and one with three crashes that
// it shares with nobody always is.
TEST_CASE("a quarantine rests on crashes, in any order of events") {
  rc::check([] {
    CrashTrackerOptions options;
    options.max_crashes = 24;
    options.max_unconfirmed = 6;
    options.max_suspects = 4;
    CrashTracker ledger(options, kSeed);
    TimePoint now = kStart;
    const int steps = *rc::gen::inRange(1, 120);
    for (int n = 0; n < steps; ++n) {
      now += milliseconds(*rc::gen::inRange(0, 1500));
      const EndpointProcess endpoint = Endpoint(*rc::gen::inRange(0, 8));
      const RequestFingerprint request{*rc::gen::inRange<std::uint64_t>(1, 6)};
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          ledger.Confirm(endpoint);
          break;
        case 1:
          ledger.Dismiss(endpoint);
          break;
        case 2:
          ledger.Clear({request, now}, now);
          RC_ASSERT(ledger.CountCrashes(request) == 0U);
          break;
        case 3:
          ledger.Add({request, endpoint, now}, now);
          break;
        default:
          ledger.Suspect({request, endpoint, now});
      }
      RC_ASSERT(ledger.crashes() <= options.max_crashes);
      const Suspicion judged = ledger.Judge(request, now).suspicion;
      const std::size_t crashes = ledger.CountCrashes(request);
      if (judged == Suspicion::kQuarantined) {
        RC_ASSERT(crashes >= options.crashes_to_quarantine);
      }
      if (judged == Suspicion::kNone) {
        RC_ASSERT(crashes == 0U);
      }
    }
    constexpr RequestFingerprint kAlone{99};
    for (int n = 20; n < 23; ++n) {
      ledger.Add({kAlone, Endpoint(n), now}, now);
    }
    RC_ASSERT(ledger.Judge(kAlone, now).suspicion == Suspicion::kQuarantined);
  });
}

}  // namespace
}  // namespace damasktack
