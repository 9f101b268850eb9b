#include <doctest/doctest.h>
#include <httplib.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "main/store_daemon.h"
#include "platform/standin/standin_store.h"
#include "standin/free_ports.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kCall = "X-Damasktack-Request-Id";
constexpr std::size_t kHosts = 3;
// A change must be in force this long after it was acknowledged.
constexpr Duration kChangeTime = seconds(2);
// Time in which the store, the operator and the endpoints settle after a
// return.
constexpr Duration kSettleTime = seconds(3);
constexpr int kLostChanges = 200;

constexpr std::size_t kThreads = 64;

// An endpoint that counts the requests that reach it.
class CountingEndpoint {
 public:
  CountingEndpoint() {
    // An idle connection occupies a thread.
    server_.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
    server_.Get("/health", [](const httplib::Request&, httplib::Response& res) {
      res.set_header("X-Damasktack-Server-Load", "0,0,4,100");
    });
    server_.Get("/.*",
                [this](const httplib::Request& req, httplib::Response& res) {
                  ++arrivals_;
                  res.set_header(kCall, req.get_header_value(kCall));
                  res.set_content("ran", "text/plain");
                });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::sleep_for(milliseconds(1));
    }
  }
  ~CountingEndpoint() {
    server_.stop();
    thread_.join();
  }
  int port() const { return port_; }
  int arrivals() const { return arrivals_; }

 private:
  httplib::Server server_;
  int port_ = 0;
  std::atomic<int> arrivals_ = 0;
  std::thread thread_;
};

// A seed, hosts that it feeds, and a store that returns from older copies of
// itself.
class ReturningStore {
 public:
  ReturningStore() {
    PublishVersion(1);
    PutEndpoint(0, "ready");
    PutEndpoint(1, "ready");
    FreePorts ports;
    std::vector<SocketAddress> addresses;
    for (std::size_t n = 0; n < kHosts; ++n) {
      addresses.push_back({"127.0.0.1", ports.Take()});
    }
    for (std::size_t n = 0; n < kHosts; ++n) {
      Settings settings;
      settings.host = HostId("h" + std::to_string(n));
      settings.zone = ZoneId("z1");
      settings.proxy.listen = {"127.0.0.1", 0};
      settings.proxy.threads = 1;
      settings.proxy.measures_before_sending = true;
      settings.admin.listen = {"127.0.0.1", 0};
      settings.admin.public_only = true;
      settings.store.enabled = true;
      settings.store.address = {"127.0.0.1", store_.port()};
      settings.fleet.enabled = true;
      settings.fleet.listen = addresses[n];
      settings.fleet.key = "a-key-that-only-this-test-uses";
      settings.fleet.seeds = {addresses[0]};
      settings.stop.lag = milliseconds(50);
      hosts_.push_back(std::make_unique<StoreDaemon>(settings));
      Try([&] { return hosts_.back()->Start(); },
          [](const Error& error) { FAIL(ToString(error)); });
    }
    std::this_thread::sleep_for(kSettleTime);
  }

  // The route "/v<version>/" replaces that of the previous version.
  void PublishVersion(int version) {
    version_ = version;
    const std::string prefix = "/v" + std::to_string(version) + "/";
    store_.PutJson("op/config",
                   R"({"version":)" + std::to_string(version) +
                       R"(,"routes":{"columns":["name","host","prefix","kind",
"timeout_ms","service"],"rows":[["r","a.example","/x/","safe",2000,"s"],["v",
"a.example",")" + prefix +
                       R"(","safe",2000,"s"]]},
"services":{"columns":["name"],"rows":[["s"]]}})");
  }
  void PutEndpoint(int n, const std::string& state) {
    store_.PutJson("servers/i-" + std::to_string(n),
                   R"({"address":"127.0.0.1:)" +
                       std::to_string(endpoints_[n].port()) +
                       R"(","info":{"service":"s","version":"v1","zone":"z1",
"slots":4},"status":{"state":")" +
                       state + R"(","sequence":1,"cold_ms":0}})");
  }
  void RemoveEndpoint(int n) {
    store_.Remove("servers/i-" + std::to_string(n));
  }
  void LoseChanges() {
    for (int n = 0; n < kLostChanges; ++n) {
      store_.Put("other/key", std::to_string(n));
    }
    std::this_thread::sleep_for(milliseconds(300));
  }
  void Return() {
    store_.ReturnFromCopy();
    // The operator writes its newest configuration again.
    PublishVersion(version_);
    std::this_thread::sleep_for(kSettleTime);
  }

  int Ask(std::size_t host, const std::string& path) const {
    httplib::Client client("127.0.0.1", hosts_[host]->caller_port());
    const auto answer =
        client.Get(path, {{"Host", "a.example"},
                          {kCall, "c-1"},
                          {"X-Damasktack-Deadline-Ms", "2000"}});
    return answer ? answer->status : 0;
  }
  // Whether each host serves the newest version and no older one.
  bool IsVersionInForce() const {
    const std::string newest = "/v" + std::to_string(version_) + "/";
    const std::string before = "/v" + std::to_string(version_ - 1) + "/";
    for (std::size_t n = 0; n < kHosts; ++n) {
      if (Ask(n, newest) != 200 || Ask(n, before) != 404) {
        return false;
      }
    }
    return true;
  }
  // Sends calls to each host and returns how many reached the endpoint.
  int CountArrivals(int endpoint) const {
    constexpr int kCalls = 20;
    const int before = endpoints_[endpoint].arrivals();
    for (int n = 0; n < kCalls; ++n) {
      for (std::size_t host = 0; host < kHosts; ++host) {
        Ask(host, "/x/1");
      }
    }
    return endpoints_[endpoint].arrivals() - before;
  }
  StandinStore& store() { return store_; }
  int version() const { return version_; }

 private:
  std::vector<CountingEndpoint> endpoints_{2};
  StandinStore store_{100};
  std::vector<std::unique_ptr<StoreDaemon>> hosts_;
  int version_ = 0;
};

// Guards against hosts that are told of no change after the store has returned
// from an older copy, until its revisions have caught up.
TEST_CASE("changes after the store returned from a copy reach all hosts") {
  ReturningStore it;
  REQUIRE(it.IsVersionInForce());
  it.store().KeepCopy();
  it.PublishVersion(2);
  it.LoseChanges();
  it.Return();
  it.PublishVersion(3);
  it.PutEndpoint(1, "draining");
  std::this_thread::sleep_for(kChangeTime);
  CHECK(it.IsVersionInForce());
  CHECK(it.CountArrivals(1) == 0);
  CHECK(it.CountArrivals(0) > 0);
}

// Guards against a watch that goes on after a return, from a revision that the
// store has given out again with other content.
TEST_CASE("a return that no refused watch shows is noticed") {
  ReturningStore it;
  it.store().KeepCopy();
  it.PublishVersion(2);
  std::this_thread::sleep_for(milliseconds(500));
  it.store().ReturnFromCopy();
  // Changes at the revisions that were lost, and more.
  it.PutEndpoint(1, "draining");
  it.LoseChanges();
  it.PublishVersion(2);
  std::this_thread::sleep_for(kChangeTime);
  CHECK(it.IsVersionInForce());
  CHECK(it.CountArrivals(1) == 0);
}

// Guards against an endpoint that gets calls again because the copy still
// lists it.
TEST_CASE("an endpoint that has left does not come back with the copy") {
  ReturningStore it;
  it.store().KeepCopy();
  it.RemoveEndpoint(1);
  it.LoseChanges();
  it.Return();
  CHECK(it.CountArrivals(1) == 0);
  // It writes again: its lease had expired only.
  it.PutEndpoint(1, "ready");
  std::this_thread::sleep_for(kChangeTime);
  CHECK(it.CountArrivals(1) > 0);
}

// Guards against a reader that reads everything again and again while the
// store's history does not reach its revision.
TEST_CASE("a store that has returned is read a bounded number of times") {
  ReturningStore it;
  it.store().KeepCopy();
  it.LoseChanges();
  const std::uint64_t before = it.store().calls();
  it.Return();
  CHECK(it.store().calls() - before < 60);
}

}  // namespace
}  // namespace damasktack
