#include <doctest/doctest.h>
#include <httplib.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/daemon_fleets.h"
#include "tests/support/scripted_endpoint.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 3;
constexpr std::size_t kEndpoints = 4;
// The first ones state a limit.
constexpr std::size_t kLimited = 3;
// Requests a second that each of them takes from all hosts together.
constexpr double kLimit = 1;
constexpr seconds kUntilInForce(3);
constexpr seconds kWindow(4);
// In a window, as the rule on stated limits has it.
constexpr double kMost = 1.5 * kLimit * kWindow.count() + 5;
constexpr seconds kLength(10);
constexpr milliseconds kBetweenCalls(30);
constexpr auto kHttpOk = 200;

// A host that has just started has no part of its customers' limits yet.
void AwaitService(httplib::Client& client,
                  const std::string& path,
                  const httplib::Headers& headers) {
  CHECK(detail::Eventually([&] {
    const auto answer = client.Get(path, headers);
    return answer && answer->status == kHttpOk;
  }));
}

// Sends calls to all hosts at once, one after the other at each.
void SendCalls(const std::vector<std::uint16_t>& hosts,
               const std::string& path,
               const httplib::Headers& headers) {
  const TimePoint end = Clock::now() + kLength;
  std::vector<std::thread> callers;
  for (const std::uint16_t port : hosts) {
    callers.emplace_back([&, port] {
      httplib::Client client("127.0.0.1", port);
      AwaitService(client, path, headers);
      while (Clock::now() < end) {
        const auto answer = client.Get(path, headers);
        CHECK((answer && answer->status == kHttpOk));
        std::this_thread::sleep_for(kBetweenCalls);
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
}

// The most arrivals within a window that begins once the limit is in force.
std::ptrdiff_t WorstWindow(const ScriptedEndpoint& endpoint) {
  const std::vector<TimePoint> arrivals = endpoint.arrivals();
  if (arrivals.empty()) {
    return 0;
  }
  const TimePoint in_force = arrivals.front() + kUntilInForce;
  std::ptrdiff_t worst = 0;
  for (auto it = arrivals.begin(); it != arrivals.end(); ++it) {
    if (*it >= in_force) {
      const auto end = std::lower_bound(it, arrivals.end(), *it + kWindow);
      worst = std::max(worst, end - it);
    }
  }
  return worst;
}

void StateLimit(const ScriptedEndpoints& endpoints, const std::string& header) {
  for (std::size_t n = 0; n < kLimited; ++n) {
    endpoints[n]->SetScript([header](ScriptedEndpoint::Response& answer) {
      answer.set(header, std::to_string(kLimit));
    });
  }
}

void CheckWithinLimit(const ScriptedEndpoints& endpoints) {
  for (std::size_t n = 0; n < kLimited; ++n) {
    CHECK(static_cast<double>(WorstWindow(*endpoints[n])) <= kMost);
  }
}

// Guards against hosts that pass over the limit an endpoint states in its
// answers, or each take all of it.
TEST_CASE("an endpoint that states a rate limit gets no more from all hosts") {
  const ScriptedEndpoints endpoints =
      MakeScriptedEndpoints(kEndpoints, StoreFleet::kCall);
  StateLimit(endpoints, "X-Damasktack-Server-Limit");
  const StoreFleet fleet(kHosts, PortsOf(endpoints));
  SendCalls(fleet.ports(), "/x/call",
            {{"Host", "a.example"},
             {StoreFleet::kCall, "c-1"},
             {"X-Damasktack-Deadline-Ms", "1500"}});
  CheckWithinLimit(endpoints);
}

// The same on damasktack's own interface.
TEST_CASE("a customer's endpoint that states a rate limit gets no more") {
  const ScriptedEndpoints endpoints =
      MakeScriptedEndpoints(kEndpoints, DocumentFleet::kCall);
  StateLimit(endpoints, "Endpoint-Limit");
  const DocumentFleet fleet(kHosts, PortsOf(endpoints));
  SendCalls(fleet.ports(), "/dispatch/call",
            {{"Damasktack-Key", "key"}, {"Damasktack-Deadline-Ms", "1500"}});
  CheckWithinLimit(endpoints);
}

}  // namespace
}  // namespace damasktack
