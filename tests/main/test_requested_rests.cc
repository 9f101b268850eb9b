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
// Of the calls that an endpoint gets it refuses one in so many, and asks for
// rest.
constexpr std::size_t kRefused = 3;
constexpr seconds kRest(3);
// What was under way when an endpoint asked for rest still arrives.
constexpr milliseconds kUnderWay(500);
constexpr std::ptrdiff_t kMost = 2;
constexpr std::size_t kCallers = 4;
constexpr seconds kLength(8);
constexpr milliseconds kBetweenCalls(20);

// Refuses calls and asks for rest; notes when.
class RestingScript {
 public:
  explicit RestingScript(std::string shed_header)
      : shed_header_(std::move(shed_header)) {}

  void operator()(ScriptedEndpoint::Response& answer) {
    if (++calls_ % kRefused != 0) {
      return;
    }
    refusals.push_back(Clock::now());
    answer.result(503);
    answer.set(shed_header_, "1");
    answer.set("Retry-After", std::to_string(kRest.count()));
  }

  // To be read once no call comes any more.
  std::vector<TimePoint> refusals;

 private:
  const std::string shed_header_;
  std::size_t calls_ = 0;
};

void SendCalls(std::uint16_t port,
               const std::string& path,
               const httplib::Headers& headers) {
  const TimePoint end = Clock::now() + kLength;
  std::vector<std::thread> callers;
  for (std::size_t n = 0; n < kCallers; ++n) {
    callers.emplace_back([&] {
      httplib::Client client("127.0.0.1", port);
      while (Clock::now() < end) {
        CHECK(client.Get(path, headers));
        std::this_thread::sleep_for(kBetweenCalls);
      }
    });
  }
  for (std::thread& it : callers) {
    it.join();
  }
}

// The most calls that came within one rest.
std::ptrdiff_t WorstRest(const std::vector<TimePoint>& arrivals,
                         const std::vector<TimePoint>& refusals) {
  std::ptrdiff_t worst = 0;
  for (const TimePoint refused : refusals) {
    const auto in_rest = [&](TimePoint it) {
      return it >= refused + kUnderWay && it < refused + kRest;
    };
    worst = std::max(worst, std::ranges::count_if(arrivals, in_rest));
  }
  return worst;
}

// Sends calls to endpoints that ask for rest, and checks that they get it.
void CheckRests(const ScriptedEndpoints& endpoints,
                const std::string& shed_header,
                const std::function<void()>& send_calls) {
  std::vector<RestingScript> scripts(kEndpoints, RestingScript(shed_header));
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    endpoints[n]->SetScript(std::ref(scripts[n]));
  }
  send_calls();
  std::size_t refusals = 0;
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    endpoints[n]->SetScript({});
    refusals += scripts[n].refusals.size();
    CHECK(WorstRest(endpoints[n]->arrivals(), scripts[n].refusals) <= kMost);
  }
  CHECK(refusals > 0);
}

// Guards against a host that goes on calling an endpoint which has refused it
// and asked for rest.
TEST_CASE("an endpoint that asks for rest gets it") {
  const ScriptedEndpoints endpoints =
      MakeScriptedEndpoints(kEndpoints, StoreFleet::kCall);
  const StoreFleet fleet(kHosts, PortsOf(endpoints));
  CheckRests(endpoints, "X-Damasktack-Not-Executed", [&] {
    SendCalls(fleet.ports()[0], "/x/call",
              {{"Host", "a.example"},
               {StoreFleet::kCall, "c-1"},
               {"X-Damasktack-Deadline-Ms", "1500"}});
  });
}

// The same on damasktack's own interface.
TEST_CASE("a customer's endpoint that asks for rest gets it") {
  const ScriptedEndpoints endpoints =
      MakeScriptedEndpoints(kEndpoints, DocumentFleet::kCall);
  const DocumentFleet fleet(kHosts, PortsOf(endpoints));
  CheckRests(endpoints, "Endpoint-Shed", [&] {
    SendCalls(fleet.ports()[0], "/dispatch/call",
              {{"Damasktack-Key", "key"}, {"Damasktack-Deadline-Ms", "1500"}});
  });
}

}  // namespace
}  // namespace damasktack
