#include <doctest/doctest.h>
#include <httplib.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/crashing_endpoint.h"
#include "tests/support/daemon_fleets.h"

// A request crashed every endpoint that ran it, and its caller sent it again
// and again, each time to another host. No host remembered what the request had
// done: each gave it to a sound endpoint, and to a second one when the first
// was lost. One request ended 38 endpoints, and in the worst second 59 of 109
// calls to their service were refused. Here it ended 24 endpoints with a store
// and 14 with documents:
//
//   request=3ab254a846146522 failure=broken endpoint=e3 sends=2
//   request=3ab254a846146522 failure=broken endpoint=e0 sends=2
//
// They had nothing else to do, so that it was not load that ended them. Hosts
// now tell each other which requests endpoints ended under.
namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kHosts = 3;
constexpr std::size_t kEndpoints = 10;
constexpr int kAttempts = 12;
// Three endpoints have to end before anybody can tell the request from its
// bystanders, and as many more may until all hosts know.
constexpr int kMostCrashes = 6;
constexpr milliseconds kBetweenAttempts(400);
constexpr milliseconds kDownFor(2000);
constexpr auto kHttpOk = 200;
constexpr auto kUnavailable = 503;

std::vector<std::unique_ptr<CrashingEndpoint>> MakeEndpoints(
    const std::string& call_header) {
  std::vector<std::unique_ptr<CrashingEndpoint>> endpoints;
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    endpoints.push_back(
        std::make_unique<CrashingEndpoint>(call_header, kDownFor));
  }
  return endpoints;
}

int CountCrashes(
    const std::vector<std::unique_ptr<CrashingEndpoint>>& endpoints) {
  int crashes = 0;
  for (const auto& it : endpoints) {
    crashes += it->crashes();
  }
  return crashes;
}

httplib::Result Ask(std::uint16_t port,
                    const std::string& path,
                    const httplib::Headers& headers) {
  httplib::Client client("127.0.0.1", port);
  return client.Get(path, headers);
}

// Sends the request to one host after the other, and other requests between,
// which may find an endpoint gone but are not to be taken for culprits.
void SendAgainAndAgain(const std::vector<std::uint16_t>& hosts,
                       const std::string& prefix,
                       const httplib::Headers& headers) {
  for (int n = 0; n < kAttempts; ++n) {
    const std::uint16_t port = hosts[static_cast<std::size_t>(n) % kHosts];
    const auto crashed = Ask(port, prefix + "crash", headers);
    REQUIRE(crashed);
    CHECK(crashed->status > kHttpOk);
    std::this_thread::sleep_for(kBetweenAttempts);
    const auto other = Ask(port, prefix + std::to_string(n), headers);
    REQUIRE(other);
    CHECK(other->body.find("quarantined") == std::string::npos);
  }
}

// In the end each host refuses it without a send and says when to come back,
// and serves all else.
void CheckRefused(const std::vector<std::uint16_t>& hosts,
                  const std::string& prefix,
                  const httplib::Headers& headers) {
  std::this_thread::sleep_for(kDownFor);
  for (const std::uint16_t port : hosts) {
    const auto other = Ask(port, prefix + "other", headers);
    REQUIRE(other);
    CHECK(other->status == kHttpOk);
    const auto refused = Ask(port, prefix + "crash", headers);
    REQUIRE(refused);
    CHECK(refused->status == kUnavailable);
    CHECK(refused->has_header("Retry-After"));
  }
}

TEST_CASE("a request that crashes endpoints is refused by every host") {
  const auto endpoints = MakeEndpoints(StoreFleet::kCall);
  const StoreFleet fleet(kHosts, PortsOf(endpoints));
  const httplib::Headers headers = {{"Host", "a.example"},
                                    {StoreFleet::kCall, "c-1"},
                                    {"X-Damasktack-Deadline-Ms", "1500"}};
  SendAgainAndAgain(fleet.ports(), "/x/", headers);
  CHECK(CountCrashes(endpoints) <= kMostCrashes);
  CheckRefused(fleet.ports(), "/x/", headers);
  CHECK(CountCrashes(endpoints) <= kMostCrashes);
}

TEST_CASE("a customer's request that crashes endpoints is refused by all") {
  const auto endpoints = MakeEndpoints(DocumentFleet::kCall);
  const DocumentFleet fleet(kHosts, PortsOf(endpoints));
  const httplib::Headers headers = {{"Damasktack-Key", "key"},
                                    {"Damasktack-Deadline-Ms", "1500"}};
  SendAgainAndAgain(fleet.ports(), "/dispatch/", headers);
  CHECK(CountCrashes(endpoints) <= kMostCrashes);
  CheckRefused(fleet.ports(), "/dispatch/", headers);
  CHECK(CountCrashes(endpoints) <= kMostCrashes);
}

}  // namespace
}  // namespace damasktack
