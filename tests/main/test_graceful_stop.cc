#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "main/daemon.h"
#include "standin/standin_endpoint.h"
#include "standin/standin_platform.h"
#include "tests/support/daemon_fleets.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr auto kContracts = R"({"contracts": [{
  "customer": "keepers",
  "key_sha256": ["2c70e12b7a0646f92279f427c7b38e7334d8e5389cff167a1dc30e73f826b683"],
  "requests": [{"service": "dispatch", "urgency": "urgent"}]
}]})";  // The key is "key".

std::string EndpointJson(const std::string& id,
                         std::uint16_t port,
                         const std::string& state) {
  return R"({"id": ")" + id + R"(", "address": "127.0.0.1:)" +
         std::to_string(port) + R"(", "zone": "z1", "slots": 64, "state": ")" +
         state + R"("})";
}

std::string ServicesJson(const std::string& endpoints) {
  return R"({"services": [{"id": "dispatch", "prefix": "/dispatch",
    "endpoints": [)" +
         endpoints + "]}]}";
}

std::unique_ptr<Daemon> StartDaemon(const std::string& host,
                                    std::uint16_t platform_port) {
  Settings settings;
  settings.host = HostId(host);
  settings.zone = ZoneId("z1");
  settings.proxy.listen = SocketAddress{"127.0.0.1", 0};
  settings.admin.listen = SocketAddress{"127.0.0.1", 0};
  settings.admin.token = "token";
  settings.platform.address = SocketAddress{"127.0.0.1", platform_port};
  settings.platform.watch = milliseconds(200);
  settings.stop.lag = milliseconds(300);
  auto daemon = std::make_unique<Daemon>(settings);
  const bool started = Try(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(daemon->Start());
        return true;
      },
      [](const Error&) { return false; });
  REQUIRE(started);
  while (!daemon->Ready()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return daemon;
}

// Callers that send commands continuously, each to the first ready host, as the
// platform's balancer would route them.
class SteadyLoad {
 public:
  explicit SteadyLoad(std::vector<const Daemon*> hosts)
      : hosts_(std::move(hosts)) {
    for (int n = 0; n < kCallers; ++n) {
      callers_.emplace_back([this] { CallContinuously(); });
    }
  }
  ~SteadyLoad() { Finish(); }

  void WaitForCalls(int calls) {
    const int until = answered + calls;
    while (answered < until) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  void Finish() {
    stopping_ = true;
    for (std::thread& it : callers_) {
      if (it.joinable()) {
        it.join();
      }
    }
  }

  std::atomic<int> answered = 0;
  std::atomic<int> cut = 0;

 private:
  static constexpr int kCallers = 8;

  const Daemon& FirstReady() const {
    return hosts_.front()->Ready() ? *hosts_.front() : *hosts_.back();
  }

  void CallContinuously() {
    while (!stopping_) {
      httplib::Client client("127.0.0.1", FirstReady().caller_port());
      client.set_keep_alive(true);
      client.set_tcp_nodelay(true);
      bool open = true;
      while (open && !stopping_) {
        const auto answer = client.Post(
            "/dispatch/cut", {{"Damasktack-Key", "key"}}, "", "text/plain");
        const bool is_complete = answer && answer->status == 200;
        answered += is_complete ? 1 : 0;
        cut += is_complete ? 0 : 1;
        open = answer && answer->get_header_value("Connection") != "close";
      }
    }
  }

  const std::vector<const Daemon*> hosts_;
  std::atomic<bool> stopping_ = false;
  std::vector<std::thread> callers_;
};

struct TestSetup {
  TestSetup()
      : first(StandinEndpointOptions{.slots = 64}),
        second(StandinEndpointOptions{.slots = 64}) {
    platform_port = platform.Start(0);
    first_port = first.Start(0);
    second_port = second.Start(0);
    platform.Publish("contracts", kContracts);
    PublishServices("live");
    platform.Publish("hosts", R"({"hosts": [{"id": "h1",
      "peer_address": "127.0.0.1:1", "zone": "z1"}]})");
  }

  void PublishServices(const std::string& state_of_first) {
    platform.Publish(
        "services",
        ServicesJson(EndpointJson("e1", first_port, state_of_first) + "," +
                     EndpointJson("e2", second_port, "live")));
  }

  StandinPlatform platform;
  StandinEndpoint first;
  StandinEndpoint second;
  std::uint16_t platform_port = 0;
  std::uint16_t first_port = 0;
  std::uint16_t second_port = 0;
};

// A host that is stopped under load reports "not ready", serves during the
// configured lag, closes each connection after a response and ends when no
// caller is left. Every command must be answered by this host or by the other
// one.
TEST_CASE("a planned stop of a host cuts no call") {
  TestSetup setup;
  const auto stopping = StartDaemon("h1", setup.platform_port);
  const auto staying = StartDaemon("h2", setup.platform_port);
  SteadyLoad load({stopping.get(), staying.get()});
  load.WaitForCalls(300);
  stopping->Stop();
  load.WaitForCalls(300);
  load.Finish();
  CHECK(load.cut == 0);
  CHECK(setup.first.executions() + setup.second.executions() ==
        static_cast<std::uint64_t>(load.answered));
}

// An endpoint that is about to stop reports in its responses that it is
// draining, and the list shows it as leaving. It must get no new calls, so that
// its end aborts none.
TEST_CASE("a planned stop of an endpoint cuts no call") {
  TestSetup setup;
  const auto daemon = StartDaemon("h1", setup.platform_port);
  SteadyLoad load({daemon.get()});
  load.WaitForCalls(300);
  setup.first.SetDraining(true);
  setup.PublishServices("leaving");
  std::uint64_t seen = 0;
  do {
    seen = setup.first.executions();
    load.WaitForCalls(300);
  } while (setup.first.executions() != seen);
  setup.first.Stop();
  load.WaitForCalls(300);
  load.Finish();
  CHECK(load.cut == 0);
  CHECK(setup.first.executions() == seen);
}

// Guards against calls with a key that fail at a host because its stop has
// begun to hand claims over.
TEST_CASE("a stopping host serves calls with an idempotency key") {
  StandinEndpoint endpoint(StandinEndpointOptions{.slots = 64});
  const std::uint16_t port = endpoint.Start(0);
  DocumentFleet fleet(3, {port}, R"([{"service": "dispatch"}])",
                      [](Settings& settings) {
                        settings.claims.quarantine = {};
                        settings.stop.lag = milliseconds(600);
                      });
  auto status_of_next = [&, calls = 0]() mutable {
    httplib::Client client("127.0.0.1", fleet.daemon(0).caller_port());
    const auto answer =
        client.Post("/dispatch/cut",
                    {{"Damasktack-Key", "key"},
                     {"Idempotency-Key", "k" + std::to_string(++calls)}},
                    "", "text/plain");
    return answer ? answer->status : 0;
  };
  // A host that has just started has no part of the customer's limit yet.
  while (status_of_next() != 200) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  std::thread stop([&] { fleet.daemon(0).Stop(); });
  for (int n = 0; n < 30; ++n) {
    CHECK(status_of_next() == 200);
    std::this_thread::sleep_for(milliseconds(10));
  }
  stop.join();
  CHECK(endpoint.executions() == 31);
}

}  // namespace
}  // namespace damasktack
