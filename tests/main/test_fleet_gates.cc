#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include "main/fleet_node.h"
#include "standin/standin_platform.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

class IgnoredEvents : public FleetNodeEvents {
 public:
  void OnInForce(const Document& /*document*/) override {}
  void OnRefused(DocumentName /*name*/,
                 const DocumentRefusal& /*refusal*/) override {}
  void OnPeerDrainObserved(const DrainObservation& /*observation*/) override {}
};

ClaimOptions WithoutQuarantine() {
  ClaimOptions options;
  options.quarantine = {};
  return options;
}

// A host with real links and its limit and claim gates, without a proxy.
struct Host {
  Host(const std::string& id, std::uint16_t platform_port)
      : limits(HostId(id), incarnation, {}),
        claims(HostId(id), incarnation, WithoutQuarantine(), limits) {
    FleetNodeOptions options;
    options.host = HostId(id);
    options.zone = ZoneId("z1");
    options.incarnation = incarnation;
    options.gates = {&limits, &claims};
    options.platform = SocketAddress{"127.0.0.1", platform_port};
    options.reader.watch = milliseconds(500);
    options.fleet.enabled = true;
    options.fleet.listen = SocketAddress{"127.0.0.1", 0};
    options.fleet.key = "a key of the fleet";
    node = std::make_unique<FleetNode>(options, events);
    started = Try(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(node->Start());
          return true;
        },
        [](const Error&) { return false; });
  }

  // Claims a key and waits for the reply.
  ClaimReply Claim(const ClaimRequest& request) {
    struct Answer {
      std::atomic<bool> ready = false;
      ClaimReply reply;
    };
    const auto answer = std::make_shared<Answer>();
    claims.Claim(request, [answer](const ClaimReply& it) {
      answer->reply = it;
      answer->ready = true;
    });
    while (!answer->ready) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    return answer->reply;
  }

  const Incarnation incarnation = DrawIncarnation();
  FleetLimitGate limits;
  FleetClaimGate claims;
  IgnoredEvents events;
  std::unique_ptr<FleetNode> node;
  bool started = false;
};

}  // namespace

// A command that arrives at one host and is repeated through the others over
// real links is granted once, and every repeat gets the stored response.
TEST_CASE("hosts with real links share limits and claims") {
  StandinPlatform platform;
  const std::uint16_t port = platform.Start(0);
  std::vector<std::unique_ptr<Host>> hosts;
  std::string list;
  for (const std::string id : {"h1", "h2", "h3"}) {
    hosts.push_back(std::make_unique<Host>(id, port));
    REQUIRE(hosts.back()->started);
    const std::string address =
        "127.0.0.1:" + std::to_string(hosts.back()->node->peer_port());
    list += std::string(list.empty() ? "" : ",") + R"({"id": ")" + id +
            R"(", "zone": "z1", "peer_address": ")" + address + R"("})";
  }
  platform.Publish("contracts", R"({"contracts": []})");
  platform.Publish("services", R"({"services": []})");
  platform.Publish("hosts", R"({"hosts": [)" + list + "]}");

  ClaimRequest request;
  request.customer = CustomerId("parks");
  request.key = "dock-7";
  ClaimReply first;
  const TimePoint last = Clock::now() + std::chrono::seconds(30);
  while (first.verdict != ClaimVerdict::kGranted && Clock::now() < last) {
    request.deadline = Clock::now() + std::chrono::seconds(2);
    first = hosts[0]->Claim(request);
  }
  REQUIRE(first.verdict == ClaimVerdict::kGranted);
  CHECK(hosts[0]->limits.Status().owns);
  request.deadline = Clock::now() + std::chrono::seconds(10);
  CHECK(hosts[1]->Claim(request).verdict == ClaimVerdict::kInProgress);
  const StoredAnswer answer{200, "text/plain", "docked"};
  hosts[0]->claims.Settle(request, first.claim, Outcome::kComplete, answer);
  while (hosts[0]->claims.Status().unsettled > 0 && Clock::now() < last) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  for (const auto& it : hosts) {
    const ClaimReply reply = it->Claim(request);
    CHECK(reply.verdict == ClaimVerdict::kAlreadyRan);
    CHECK(reply.answer == answer);
  }
}

}  // namespace damasktack
