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
// Number of endpoints that state a rate limit: the first ones.
constexpr std::size_t kLimitedEndpoints = 3;
// Requests per second that each of them accepts from all hosts together.
constexpr double kLimit = 1;
constexpr seconds kTimeUntilInForce(3);
constexpr seconds kWindow(4);
// Maximum requests in a window according to the rule on stated limits.
constexpr double kMaxRequests = 1.5 * kLimit * kWindow.count() + 5;
constexpr seconds kTestDuration(10);
constexpr milliseconds kCallInterval(30);
constexpr auto kHttpOk = 200;

// Waits until a host serves calls: a host that has just started holds no part
// of its customers' limits yet.
void WaitUntilServed(httplib::Client& client,
                     const std::string& path,
                     const httplib::Headers& headers) {
  CHECK(detail::Eventually([&] {
    const auto answer = client.Get(path, headers);
    return answer && answer->status == kHttpOk;
  }));
}

// Sends calls to all hosts concurrently, one at a time to each host.
void SendCalls(const std::vector<std::uint16_t>& hosts,
               const std::string& path,
               const httplib::Headers& headers) {
  const TimePoint end = Clock::now() + kTestDuration;
  std::vector<std::thread> callers;
  for (const std::uint16_t port : hosts) {
    callers.emplace_back([&, port] {
      httplib::Client client("127.0.0.1", port);
      WaitUntilServed(client, path, headers);
      while (Clock::now() < end) {
        const auto answer = client.Get(path, headers);
        CHECK((answer && answer->status == kHttpOk));
        std::this_thread::sleep_for(kCallInterval);
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
}

// Returns the maximum number of arrivals within a window that starts after the
// limit is in force.
std::ptrdiff_t MaxArrivalsInWindow(const ScriptedEndpoint& endpoint) {
  const std::vector<TimePoint> arrivals = endpoint.arrivals();
  if (arrivals.empty()) {
    return 0;
  }
  const TimePoint in_force = arrivals.front() + kTimeUntilInForce;
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
  for (std::size_t n = 0; n < kLimitedEndpoints; ++n) {
    endpoints[n]->SetScript([header](ScriptedEndpoint::Response& answer) {
      answer.set(header, std::to_string(kLimit));
    });
  }
}

void CheckWithinLimit(const ScriptedEndpoints& endpoints) {
  for (std::size_t n = 0; n < kLimitedEndpoints; ++n) {
    CHECK(static_cast<double>(MaxArrivalsInWindow(*endpoints[n])) <=
          kMaxRequests);
  }
}

// Guards against hosts that ignore the limit that an endpoint states in its
// responses, or that each use the whole of it.
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

// The same for damasktack's own protocol.
TEST_CASE("a customer's endpoint that states a rate limit gets no more calls") {
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
