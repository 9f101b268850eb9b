#include <doctest/doctest.h>
#include <httplib.h>

#include <algorithm>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/support/daemon_fleets.h"
#include "tests/support/scripted_endpoint.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kHosts = 1;
constexpr std::size_t kEndpoints = 4;
// Each endpoint rejects every third call and requests a pause with Retry-After.
constexpr std::size_t kRejectionInterval = 3;
constexpr seconds kPause(3);
// Calls that were in flight when an endpoint requested a pause still arrive
// within this time.
constexpr milliseconds kInFlightTime(500);
constexpr std::ptrdiff_t kMaxCallsInPause = 2;
constexpr std::size_t kCallers = 4;
constexpr seconds kTestDuration(8);
constexpr milliseconds kCallInterval(20);

// Script that rejects calls with a requested pause and records when.
class PausingScript {
 public:
  explicit PausingScript(std::string shed_header)
      : shed_header_(std::move(shed_header)) {}

  void operator()(ScriptedEndpoint::Response& answer) {
    if (++calls_ % kRejectionInterval != 0) {
      return;
    }
    rejections.push_back(Clock::now());
    answer.result(503);
    answer.set(shed_header_, "1");
    answer.set("Retry-After", std::to_string(kPause.count()));
  }

  // Must be read only after the last call.
  std::vector<TimePoint> rejections;

 private:
  const std::string shed_header_;
  std::size_t calls_ = 0;
};

void SendCalls(std::uint16_t port,
               const std::string& path,
               const httplib::Headers& headers) {
  const TimePoint end = Clock::now() + kTestDuration;
  std::vector<std::thread> callers;
  for (std::size_t n = 0; n < kCallers; ++n) {
    callers.emplace_back([&] {
      httplib::Client client("127.0.0.1", port);
      while (Clock::now() < end) {
        CHECK(client.Get(path, headers));
        std::this_thread::sleep_for(kCallInterval);
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
}

// Returns the maximum number of calls that arrived during one pause.
std::ptrdiff_t MaxCallsInPause(const std::vector<TimePoint>& arrivals,
                               const std::vector<TimePoint>& rejections) {
  std::ptrdiff_t worst = 0;
  for (const TimePoint rejected : rejections) {
    const auto in_pause = [&](TimePoint it) {
      return it >= rejected + kInFlightTime && it < rejected + kPause;
    };
    worst = std::max(worst, std::ranges::count_if(arrivals, in_pause));
  }
  return worst;
}

// Sends calls to endpoints that request pauses and checks that they get almost
// no calls during these.
void CheckPauses(const ScriptedEndpoints& endpoints,
                 const std::string& shed_header,
                 const std::function<void()>& send_calls) {
  std::vector<PausingScript> scripts(kEndpoints, PausingScript(shed_header));
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    endpoints[n]->SetScript(std::ref(scripts[n]));
  }
  send_calls();
  std::size_t rejections = 0;
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    endpoints[n]->SetScript({});
    rejections += scripts[n].rejections.size();
    CHECK(MaxCallsInPause(endpoints[n]->arrivals(), scripts[n].rejections) <=
          kMaxCallsInPause);
  }
  CHECK(rejections > 0);
}

// Guards against a host that keeps calling an endpoint which has rejected a
// call and requested a pause.
TEST_CASE("an endpoint that requests a pause gets no calls meanwhile") {
  const ScriptedEndpoints endpoints =
      MakeScriptedEndpoints(kEndpoints, StoreFleet::kCall);
  const StoreFleet fleet(kHosts, PortsOf(endpoints));
  CheckPauses(endpoints, "X-Damasktack-Not-Executed", [&] {
    SendCalls(fleet.ports()[0], "/x/call",
              {{"Host", "a.example"},
               {StoreFleet::kCall, "c-1"},
               {"X-Damasktack-Deadline-Ms", "1500"}});
  });
}

// The same for damasktack's own protocol.
TEST_CASE(
    "a customer's endpoint that requests a pause gets no calls meanwhile") {
  const ScriptedEndpoints endpoints =
      MakeScriptedEndpoints(kEndpoints, DocumentFleet::kCall);
  const DocumentFleet fleet(kHosts, PortsOf(endpoints));
  CheckPauses(endpoints, "Endpoint-Shed", [&] {
    SendCalls(fleet.ports()[0], "/dispatch/call",
              {{"Damasktack-Key", "key"}, {"Damasktack-Deadline-Ms", "1500"}});
  });
}

}  // namespace
}  // namespace damasktack
