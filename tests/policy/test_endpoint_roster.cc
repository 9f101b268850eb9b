#include "policy/endpoint_roster.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include "policy/ejection.h"
#include "policy/slow_start.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

EndpointSpec SpecNamed(std::size_t n) {
  EndpointSpec spec;
  spec.id = EndpointId("e" + std::to_string(n));
  return spec;
}

// Guards against a start that takes seconds: each endpoint of the first list
// had all others counted anew.
TEST_CASE("a list is counted once, however long it is") {
  for (const std::size_t endpoints : {10UL, 3'000UL}) {
    EndpointRoster roster;
    for (std::size_t n = 0; n < endpoints; ++n) {
      const EndpointIndex index = roster.Add(true, kStart);
      roster.OnListed(index, SpecNamed(n), kStart);
    }
    CHECK(roster.usable().size() == endpoints);
    CHECK(roster.usable_slots() == doctest::Approx(endpoints));
    CHECK(roster.recounts() == 1);
  }
}

std::size_t CountNaively(const EndpointRoster& roster, EndpointState state) {
  return static_cast<std::size_t>(
      std::ranges::count(roster.records(), state, &EndpointRecord::state));
}

std::vector<EndpointIndex> UsableNaively(const EndpointRoster& roster) {
  std::vector<EndpointIndex> usable;
  for (EndpointIndex n = 0; n < roster.records().size(); ++n) {
    if (TakesCalls(roster.records()[n].state)) {
      usable.push_back(n);
    }
  }
  return usable;
}

// The lowest place that a new endpoint may take; the end without any.
EndpointIndex FreePlaceNaively(const EndpointRoster& roster) {
  const auto records = roster.records();
  const auto free = std::ranges::find_if(records, [](const EndpointRecord& it) {
    return it.state == EndpointState::kGone &&
           it.estimate.own_in_flight() == 0 && !it.probe_pending;
  });
  return static_cast<EndpointIndex>(free - records.begin());
}

// Guards against counts that drift from the records they were taken of.
TEST_CASE("generated events: what is kept is what counting anew gives") {
  CHECK(rc::check("rosters", [] {
    EndpointRoster roster;
    TimePoint now = kStart;
    const int events = *rc::gen::inRange(10, 120);
    for (int n = 0; n < events; ++n) {
      now += milliseconds(*rc::gen::inRange(0, 400));
      const auto size = static_cast<int>(roster.records().size());
      const int kind = size == 0 ? 0 : *rc::gen::inRange(0, 8);
      const auto index = static_cast<EndpointIndex>(
          size == 0 ? 0 : *rc::gen::inRange(0, size));
      if (kind <= 1) {
        const EndpointIndex free = FreePlaceNaively(roster);
        RC_ASSERT(roster.Add(kind == 0, now) == free);
      } else if (kind == 2) {
        roster.OnUnlisted(index, now);
      } else if (kind == 3) {
        roster.OnLeaving(index, now);
      } else if (kind == 4) {
        roster.record(index).estimate.OnSend();
      } else if (kind == 5) {
        roster.OnReportedMode(index, EndpointMode::kServing, now);
      } else {
        roster.OnSendEnd(
            index, kind == 6 ? SendResult::kFailed : SendResult::kAnswered, 1,
            now);
      }
      roster.Advance(now);
      const std::vector<EndpointIndex> usable(roster.usable().begin(),
                                              roster.usable().end());
      RC_ASSERT(usable == UsableNaively(roster));
      const std::size_t live = roster.records().size() -
                               CountNaively(roster, EndpointState::kDraining) -
                               CountNaively(roster, EndpointState::kGone);
      RC_ASSERT(CountNaively(roster, EndpointState::kEjected) <=
                MaxEjected(live));
    }
  }));
}

}  // namespace
}  // namespace damasktack
