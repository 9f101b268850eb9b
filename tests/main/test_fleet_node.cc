#include "main/fleet_node.h"

#include <doctest/doctest.h>

#include <functional>
#include <mutex>
#include <thread>

#include "standin/standin_platform.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

bool WaitFor(const std::function<bool()>& condition) {
  const TimePoint last = Clock::now() + std::chrono::seconds(20);
  while (!condition()) {
    if (Clock::now() > last) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

class IgnoredEvents : public FleetNodeEvents {
 public:
  void OnInForce(const Document& /*document*/) override {}
  void OnRefused(DocumentName /*name*/,
                 const DocumentRefusal& /*refusal*/) override {}
  void OnPeerDrainObserved(const DrainObservation& /*observation*/) override {}
};

FleetNodeOptions MakeOptions(const std::string& host,
                             std::uint16_t platform_port) {
  FleetNodeOptions options;
  options.host = HostId(host);
  options.zone = ZoneId("z1");
  options.platform = SocketAddress{"127.0.0.1", platform_port};
  options.reader.watch = milliseconds(500);
  options.reader.schedule.min_backoff = milliseconds(20);
  options.reader.schedule.max_backoff = milliseconds(100);
  options.fleet.enabled = true;
  options.fleet.listen = SocketAddress{"127.0.0.1", 0};
  options.fleet.key = "a key of the fleet";
  options.fleet.heartbeat = milliseconds(50);
  options.fleet.silence = milliseconds(500);
  options.fleet.peer_wait = milliseconds(500);
  return options;
}

struct Node {
  explicit Node(const FleetNodeOptions& options) : node(options, events) {
    started = Try(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(node.Start());
          return true;
        },
        [](const Error&) { return false; });
  }
  Revision contracts() const {
    return node.state()->RevisionOf(DocumentName::kContracts);
  }

  IgnoredEvents events;
  FleetNode node;
  bool started = false;
};

std::string HostEntry(const std::string& id, std::uint16_t port) {
  return R"({"id": ")" + id +
         R"(", "zone": "z1", "peer_address": "127.0.0.1:)" +
         std::to_string(port) + R"("})";
}

void PublishDocuments(StandinPlatform& platform, const std::string& hosts) {
  platform.Publish("contracts", R"({"contracts": []})");
  platform.Publish("services", R"({"services": []})");
  platform.Publish("hosts", R"({"hosts": [)" + hosts + "]}");
}

// While the platform is down, a host that starts without data must serve from
// the documents of its peers, and never from older ones.
TEST_CASE("a host starts from its peers while the platform is down") {
  StandinPlatform platform;
  const std::uint16_t port = platform.Start(0);
  Node one(MakeOptions("h1", port));
  REQUIRE(one.started);
  PublishDocuments(platform, HostEntry("h1", one.node.peer_port()));
  CHECK(WaitFor([&] { return one.node.IsReady(); }));
  platform.Publish("contracts", R"({"contracts": [] /* second */})");
  CHECK(WaitFor([&] { return one.contracts() == 2; }));

  platform.SetFault(StandinPlatform::Fault::kDown);
  FleetNodeOptions options = MakeOptions("h2", port);
  Node unseeded(options);
  options.host = HostId("h3");
  options.fleet.peer_wait = std::chrono::seconds(5);
  options.fleet.seeds = {SocketAddress{"127.0.0.1", one.node.peer_port()}};
  Node seeded(options);
  CHECK(WaitFor([&] { return seeded.node.IsReady(); }));
  CHECK(seeded.contracts() == 2);
  CHECK_FALSE(unseeded.node.IsReady());

  // The platform returns with an old copy while another host without data
  // starts.
  platform.PublishAs("contracts", 1, R"({"contracts": []})");
  platform.SetFault(StandinPlatform::Fault::kNone);
  options.host = HostId("h4");
  Node late(options);
  CHECK(WaitFor([&] { return late.node.IsReady(); }));
  CHECK(late.contracts() == 2);
  CHECK(seeded.contracts() == 2);
  CHECK(one.contracts() == 2);
}

TEST_CASE(
    "a rejected document is reported and the last valid one stays in force") {
  StandinPlatform platform;
  Node one(MakeOptions("h1", platform.Start(0)));
  PublishDocuments(platform, HostEntry("h1", one.node.peer_port()));
  CHECK(WaitFor([&] { return one.node.IsReady(); }));
  platform.Publish("contracts", R"({"contracts": [)");
  CHECK(WaitFor([&] { return one.node.state()->refused[0].has_value(); }));
  CHECK(one.node.state()->refused[0]->version.revision == 2);
  CHECK(one.contracts() == 1);
  platform.Publish("contracts", R"({"contracts": []})");
  CHECK(WaitFor([&] { return one.contracts() == 3; }));
  CHECK_FALSE(one.node.state()->refused[0].has_value());
}

TEST_CASE("a host that stops is seen as leaving and then as unreachable") {
  StandinPlatform platform;
  const std::uint16_t port = platform.Start(0);
  Node one(MakeOptions("h1", port));
  auto two = std::make_unique<Node>(MakeOptions("h2", port));
  PublishDocuments(platform, HostEntry("h1", one.node.peer_port()) + "," +
                                 HostEntry("h2", two->node.peer_port()));
  const auto peer = [&] {
    const auto state = one.node.state();
    return state->view.peers.empty() ? PeerView{} : state->view.peers.front();
  };
  CHECK(WaitFor([&] { return peer().reachable; }));
  CHECK(peer().incarnation == two->node.incarnation());
  two->node.Leave();
  CHECK(WaitFor([&] { return peer().listed == ListedState::kLeaving; }));
  CHECK(peer().reachable);
  two.reset();
  CHECK(WaitFor([&] { return !peer().reachable; }));
}

}  // namespace
}  // namespace damasktack
