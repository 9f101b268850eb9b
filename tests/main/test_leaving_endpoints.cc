#include <doctest/doctest.h>
#include <httplib.h>

#include <algorithm>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/daemon_fleets.h"
#include "tests/support/scripted_endpoint.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 1;
constexpr std::size_t kEndpoints = 4;
// Number of endpoints that leave: the first ones.
constexpr std::size_t kLeavingEndpoints = 3;
constexpr seconds kTimeBeforeLeaving(1);
constexpr milliseconds kDrainTime(2000);
constexpr seconds kTestDuration(7);
constexpr milliseconds kCallInterval(20);

void SendCallsUntil(TimePoint end,
                    std::uint16_t port,
                    const std::string& path,
                    const httplib::Headers& headers) {
  httplib::Client client("127.0.0.1", port);
  while (Clock::now() < end) {
    CHECK(client.Get(path, headers));
    std::this_thread::sleep_for(kCallInterval);
  }
}

// Sends calls, lets the first endpoints announce that they leave, and checks
// that each gets no more calls once the drain time after its first such
// response has passed.
void CheckLeaving(const ScriptedEndpoints& endpoints,
                  const ScriptedEndpoint::Script& announce_leaving,
                  const std::function<void(TimePoint)>& send_until) {
  const TimePoint start = Clock::now();
  const TimePoint leaving = start + kTimeBeforeLeaving;
  send_until(leaving);
  for (std::size_t n = 0; n < kLeavingEndpoints; ++n) {
    endpoints[n]->SetScript(announce_leaving);
  }
  send_until(start + kTestDuration);
  for (std::size_t n = 0; n < kLeavingEndpoints; ++n) {
    const std::vector<TimePoint> arrivals = endpoints[n]->arrivals();
    const auto first = std::ranges::lower_bound(arrivals, leaving);
    if (first != arrivals.end()) {
      CHECK(arrivals.back() <= *first + kDrainTime);
    }
  }
  const std::vector<TimePoint> others = endpoints.back()->arrivals();
  REQUIRE_FALSE(others.empty());
  CHECK(others.back() > leaving + kDrainTime);
}

// Guards against a host that relies on the published list only, which may
// report late, or never, that an endpoint leaves.
TEST_CASE("an endpoint that announces that it leaves gets no more calls") {
  const ScriptedEndpoints endpoints =
      MakeScriptedEndpoints(kEndpoints, StoreFleet::kCall);
  const StoreFleet fleet(kHosts, PortsOf(endpoints));
  CheckLeaving(
      endpoints,
      [](ScriptedEndpoint::Response& answer) {
        answer.set("X-Damasktack-Server-Leaving", "1");
      },
      [&](TimePoint end) {
        SendCallsUntil(end, fleet.ports()[0], "/x/call",
                       {{"Host", "a.example"},
                        {StoreFleet::kCall, "c-1"},
                        {"X-Damasktack-Deadline-Ms", "1500"}});
      });
}

// The same for damasktack's own protocol.
TEST_CASE(
    "a customer's endpoint that announces that it leaves gets no more calls") {
  const ScriptedEndpoints endpoints =
      MakeScriptedEndpoints(kEndpoints, DocumentFleet::kCall);
  const DocumentFleet fleet(kHosts, PortsOf(endpoints));
  CheckLeaving(
      endpoints,
      [](ScriptedEndpoint::Response& answer) {
        answer.set("Endpoint-Load",
                   "in_flight=0, queued=0, slots=4, mode=draining");
      },
      [&](TimePoint end) {
        SendCallsUntil(
            end, fleet.ports()[0], "/dispatch/call",
            {{"Damasktack-Key", "key"}, {"Damasktack-Deadline-Ms", "1500"}});
      });
}

}  // namespace
}  // namespace damasktack
