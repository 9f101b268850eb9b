#include "policy/endpoint_reach.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kProbeTime(250);

EndpointId MakeId(std::size_t n) {
  return EndpointId("e" + std::to_string(n));
}

std::vector<EndpointSpec> MakeEndpoints(std::size_t count) {
  std::vector<EndpointSpec> endpoints(count);
  for (std::size_t n = 0; n < count; ++n) {
    endpoints[n].id = MakeId(n);
  }
  return endpoints;
}

EndpointReach MakeReach(std::size_t count) {
  EndpointReach reach;
  reach.SetEndpoints(MakeEndpoints(count), kStart);
  reach.OnResponse(kStart);
  return reach;
}

// Lets the first `count` endpoints fail one probe each, begun at `began_at`.
void Fail(EndpointReach& reach, std::size_t count, TimePoint began_at) {
  for (std::size_t n = 0; n < count; ++n) {
    reach.OnNoResponse(MakeId(n), began_at, began_at + kProbeTime);
  }
}

// Guards against a host that goes on as if it could serve although no endpoint
// can be reached from it.
TEST_CASE("a service is unreachable once several endpoints give no response") {
  EndpointReach reach = MakeReach(12);
  Fail(reach, 2, kStart + seconds(1));
  CHECK(!reach.is_unreachable());
  Fail(reach, 3, kStart + seconds(1));
  CHECK(reach.is_unreachable());
  CHECK(reach.unreachable_since() == kStart + seconds(1) + kProbeTime);
}

// Guards against one crashed endpoint that is tried again and again.
TEST_CASE("failures of one endpoint do not make a service unreachable") {
  EndpointReach reach = MakeReach(12);
  for (int n = 0; n < 10; ++n) {
    Fail(reach, 1, kStart + seconds(n + 1));
  }
  CHECK(!reach.is_unreachable());
  EndpointReach single = MakeReach(1);
  Fail(single, 1, kStart + seconds(1));
  CHECK(!single.is_unreachable());
}

TEST_CASE("in a small service all endpoints must fail") {
  EndpointReach reach = MakeReach(2);
  Fail(reach, 1, kStart + seconds(1));
  CHECK(!reach.is_unreachable());
  Fail(reach, 2, kStart + seconds(1));
  CHECK(reach.is_unreachable());
}

// Guards against a host that stays cut off in its own view after the partition
// has healed.
TEST_CASE("any response ends the state at once") {
  EndpointReach reach = MakeReach(12);
  Fail(reach, 3, kStart + seconds(1));
  reach.OnResponse(kStart + seconds(2));
  CHECK(!reach.is_unreachable());
  CHECK(reach.failing() == 0);
}

// Guards against old failures that are reported only after the partition has
// healed: connections time out long after they were used.
TEST_CASE("an exchange begun before the last response says nothing") {
  EndpointReach reach = MakeReach(12);
  reach.OnResponse(kStart + seconds(2));
  Fail(reach, 5, kStart + seconds(1) + milliseconds(900));
  CHECK(!reach.is_unreachable());
}

// Guards against a host that was suspended and blames the endpoints for its own
// pause.
TEST_CASE("failures across a pause of this process say nothing") {
  EndpointReach reach = MakeReach(12);
  for (std::size_t n = 0; n < 12; ++n) {
    reach.OnNoResponse(MakeId(n), kStart + seconds(1), kStart + seconds(5));
  }
  CHECK(!reach.is_unreachable());
}

TEST_CASE("failures of endpoints that are no longer listed are forgotten") {
  EndpointReach reach = MakeReach(12);
  Fail(reach, 3, kStart + seconds(1));
  std::vector<EndpointSpec> others = MakeEndpoints(12);
  others.erase(others.begin(), others.begin() + 3);
  reach.SetEndpoints(others, kStart + seconds(2));
  CHECK(!reach.is_unreachable());
}

// Guards against a flood of probes by cut hosts, and against a host that probes
// only the endpoints that have failed, all of which may have crashed.
TEST_CASE("an unreachable service is probed in turns at a bounded rate") {
  EndpointReach reach = MakeReach(4);
  CHECK(!reach.NextProbe(kStart + seconds(1)));
  Fail(reach, 3, kStart + seconds(1));
  std::set<EndpointId> probed;
  int probes = 0;
  const TimePoint begin = *reach.unreachable_since();
  for (milliseconds at(0); at < seconds(1); at += milliseconds(5)) {
    if (const auto next = reach.NextProbe(begin + at)) {
      probed.insert(*next);
      ++probes;
    }
  }
  CHECK(probed.size() == 4);
  CHECK(probes <= seconds(1) / EndpointReach::kProbeInterval);
  CHECK(probes >= 8);
}

}  // namespace
}  // namespace damasktack
