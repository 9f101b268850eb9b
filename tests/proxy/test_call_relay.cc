#include "proxy/call_relay.h"

#include <doctest/doctest.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform/kv_names.h"
#include "proxy/caller_server.h"
#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr auto kCall = "X-Damasktack-Request-Id";
constexpr auto kToken = "token-of-the-fleet";
constexpr std::size_t kEndpoints = 3;

std::string Request(const std::string& method,
                    const std::string& target,
                    const std::string& call,
                    const std::string& headers = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n" + kCall +
         ": " + call + "\r\nX-Damasktack-Deadline-Ms: 2000\r\n" + headers +
         "Content-Length: 0\r\n\r\n";
}

// The endpoints of one service: runs requests, counts them and answers probes
// as idle.
class Endpoints {
 public:
  explicit Endpoints(Duration takes = milliseconds(0)) {
    for (std::size_t n = 0; n < kEndpoints; ++n) {
      endpoints_.push_back(std::make_unique<RawEndpoint>(
          [this, takes](RawConnection& it) { Serve(it, takes); }));
    }
  }

  std::vector<std::uint16_t> ports() const {
    std::vector<std::uint16_t> ports;
    for (const auto& it : endpoints_) {
      ports.push_back(it->port());
    }
    return ports;
  }
  int runs() const { return runs_; }
  int hang_ups() const { return hang_ups_; }
  std::string last_request() const {
    const std::lock_guard lock(mutex_);
    return last_request_;
  }

 private:
  void Serve(RawConnection& it, Duration takes) {
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      if (request.starts_with("GET /health")) {
        it.Send(OkAnswer("", "X-Damasktack-Server-Load: 0,0,16,100\r\n"));
        continue;
      }
      ++runs_;
      {
        const std::lock_guard lock(mutex_);
        last_request_ = request;
      }
      if (takes > Duration::zero() && it.WaitForHangUp()) {
        ++hang_ups_;
        return;
      }
      it.Send(OkAnswer("ran", std::string(kCall) + ": " +
                                  HeaderOf(request, kCall) + "\r\n"));
    }
  }

  std::atomic<int> runs_ = 0;
  std::atomic<int> hang_ups_ = 0;
  mutable std::mutex mutex_;
  std::string last_request_;
  std::vector<std::unique_ptr<RawEndpoint>> endpoints_;
};

// Ports of endpoints behind a partition: connections are refused.
std::vector<std::uint16_t> CutPorts() {
  std::vector<std::uint16_t> ports;
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    ports.push_back(ClosedPort());
  }
  return ports;
}

// A host of a fleet. Hosts reach the same endpoints at different ports, so that
// a test can cut one host off.
class Host {
 public:
  Host(const std::string& name,
       const std::vector<std::uint16_t>& ports,
       const std::string& token = kToken,
       std::int64_t max_calls = 64)
      : name_(name) {
    ProxyOptions options = ProxyFixture::FastOptions();
    options.names = KvProtocolNames();
    options.measures_before_sending = true;
    options.relay.listen = {"127.0.0.1", 0};
    options.relay.host = HostId(name);
    options.relay.token = token;
    options.relay.max_calls = max_calls;
    state_ = std::make_unique<ProxyState>(options, limits_, claims_);
    server_ = std::make_unique<CallerServer>(*state_);
    SetEndpoints(ports);
    Try([&] { return server_->Start(); },
        [](const Error& error) { FAIL(ToString(error)); });
    state_->relay_directory().SetSelf(relay_host());
  }
  ~Host() { server_->Stop(); }

  void SetEndpoints(const std::vector<std::uint16_t>& ports) {
    state_->SetRouting(MakeReadWriteRoutes(ports, Traits()), 1, Clock::now());
  }
  void SetPeers(const std::vector<const Host*>& peers) {
    std::vector<RelayHost> hosts;
    for (const Host* it : peers) {
      hosts.push_back(it->relay_host());
    }
    state_->relay_directory().SetPeers(hosts);
  }

  RelayHost relay_host() const {
    return {HostId(name_), ZoneId("z"), {"127.0.0.1", server_->relay_port()}};
  }
  RawConnection Connect() const { return RawConnection::To(server_->port()); }
  std::string Ask(const std::string& request) const {
    RawConnection caller = Connect();
    caller.Send(request);
    return caller.ReadMessage();
  }
  std::string AskAsPeer(const std::string& request) const {
    RawConnection caller = RawConnection::To(server_->relay_port());
    caller.Send(request);
    return caller.ReadMessage();
  }
  bool IsReachable() const {
    return state_->FindDispatcher(ServiceId("s"))->IsReachable();
  }
  ProxyState& state() const { return *state_; }
  CallerServer& server() const { return *server_; }

 private:
  static Route Traits() {
    Route route;
    route.timeout = milliseconds(1500);
    route.latency_objective = milliseconds(1000);
    route.attempt_limit = 2;
    return route;
  }

  const std::string name_;
  OpenLimitGate limits_;
  OpenClaimGate claims_;
  std::unique_ptr<ProxyState> state_;
  std::unique_ptr<CallerServer> server_;
};

bool Eventually(const std::function<bool()>& holds) {
  for (int n = 0; n < 5'000 && !holds(); ++n) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  return holds();
}

// Sends calls until the host knows that it reaches no endpoint.
void Cut(const Host& host) {
  CHECK(Eventually([&] {
    host.Ask(Request("GET", "/read/cut", "c-cut"));
    return !host.IsReachable();
  }));
}

std::string CallId(int n) {
  return "c-" + std::to_string(n);
}

// Guards against a host that refuses its callers because it is partitioned from
// all endpoints, although its peers reach them.
TEST_CASE(
    "calls at a host that reaches no endpoint are served through a peer") {
  const Endpoints endpoints;
  const Host peer("b", endpoints.ports());
  Host cut("a", CutPorts());
  cut.SetPeers({&peer});
  int served = 0;
  constexpr int kCalls = 40;
  for (int n = 0; n < kCalls; ++n) {
    const bool is_read = n % 2 == 0;
    const std::string answer =
        cut.Ask(is_read ? Request("GET", "/read/x", CallId(n))
                        : Request("POST", "/write/x", CallId(n)));
    served += StatusOf(answer) == 200 && BodyOf(answer) == "ran" ? 1 : 0;
  }
  // The first calls teach the host that it is cut off.
  CHECK(served >= kCalls - 4);
  CHECK(endpoints.runs() == served);
}

// Guards against a partition that hangs: the call itself must not wait for its
// deadline, and the call after it must be served.
TEST_CASE("calls are served through a peer if connections hang") {
  const Endpoints endpoints;
  const Host peer("b", endpoints.ports());
  std::vector<std::unique_ptr<RawEndpoint>> silent;
  std::vector<std::uint16_t> ports;
  for (std::size_t n = 0; n < kEndpoints; ++n) {
    silent.push_back(std::make_unique<RawEndpoint>(
        [](RawConnection& it) { it.WaitForHangUp(); }));
    ports.push_back(silent.back()->port());
  }
  Host cut("a", ports);
  cut.SetPeers({&peer});
  Cut(cut);
  for (int n = 0; n < 10; ++n) {
    CHECK(StatusOf(cut.Ask(Request("POST", "/write/x", CallId(n)))) == 200);
  }
}

TEST_CASE("an endpoint gets a relayed call as its caller sent it") {
  const Endpoints endpoints;
  const Host peer("b", endpoints.ports());
  Host cut("a", CutPorts());
  cut.SetPeers({&peer});
  Cut(cut);
  const std::string answer =
      cut.Ask(Request("GET", "/read/a%2Fb?q=1", "c-1", "Accept: x/y\r\n"));
  CHECK(StatusOf(answer) == 200);
  CHECK(HeaderOf(answer, kCall) == "c-1");
  CHECK(answer.find("Damasktack-Relay") == std::string::npos);
  const std::string seen = endpoints.last_request();
  CHECK(seen.starts_with("GET /read/a%2Fb?q=1 HTTP/1.1\r\n"));
  CHECK(HeaderOf(seen, "Accept") == "x/y");
  CHECK(seen.find("Damasktack-Relay") == std::string::npos);
  CHECK(std::stoi(HeaderOf(seen, "X-Damasktack-Deadline-Ms")) <= 1500);
}

// Guards against calls that circulate between hosts, and against hosts that
// keep their callers waiting although no host reaches an endpoint.
TEST_CASE("a call that no host can serve is refused at once as not run") {
  Host peer("b", CutPorts());
  Host cut("a", CutPorts());
  cut.SetPeers({&peer});
  peer.SetPeers({&cut});
  Cut(peer);
  Cut(cut);
  const TimePoint begin = Clock::now();
  for (int n = 0; n < 5; ++n) {
    const std::string answer = cut.Ask(Request("POST", "/write/x", CallId(n)));
    CHECK(StatusOf(answer) == 503);
    CHECK(HeaderOf(answer, "Damasktack-Outcome") == "not-run");
    CHECK(!HeaderOf(answer, "Retry-After").empty());
  }
  CHECK(Clock::now() - begin < milliseconds(1000));
}

// Guards against a cut host that gives up after one peer that is cut off too.
TEST_CASE("a call goes on to the next peer if one cannot take it") {
  const Endpoints endpoints;
  Host cut_peer("b", CutPorts());
  const Host full_peer("c", endpoints.ports(), kToken, 0);
  const Host stranger("d", endpoints.ports(), "another-token");
  const Host peer("e", endpoints.ports());
  Host cut("a", CutPorts());
  cut.SetPeers({&cut_peer, &full_peer, &stranger, &peer});
  Cut(cut_peer);
  Cut(cut);
  CHECK(StatusOf(cut.Ask(Request("POST", "/write/x", "c-1"))) == 200);
  CHECK(endpoints.runs() >= 1);
}

// Guards against callers that pose as hosts of the fleet.
TEST_CASE("a relayed call without the fleet's token is refused") {
  const Endpoints endpoints;
  const Host host("b", endpoints.ports());
  for (const std::string& headers :
       {std::string(), std::string("Damasktack-Relay-Token: guess\r\n")}) {
    const std::string answer =
        host.AskAsPeer(Request("GET", "/read/x", "c-1", headers));
    CHECK(StatusOf(answer) == 503);
  }
  CHECK(endpoints.runs() == 0);
}

// Guards against a retry that runs a call twice: the peer has passed the call
// on and is lost before it answers.
TEST_CASE("a call whose peer is lost is unknown and not sent again") {
  const Endpoints endpoints;
  const Host other("c", endpoints.ports());
  const RawEndpoint lost_peer([](RawConnection& it) {
    it.ReadMessage();
    it.Reset();
  });
  Host cut("a", CutPorts());
  Cut(cut);
  cut.state().relay_directory().SetPeers(
      {{HostId("b"), ZoneId("z"), {"127.0.0.1", lost_peer.port()}},
       other.relay_host()});
  const std::string answer = cut.Ask(Request("POST", "/write/x", "c-1"));
  CHECK(StatusOf(answer) == 502);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "unknown");
  CHECK(endpoints.runs() == 0);
  // The lost peer is left out, and the next call is served.
  CHECK(StatusOf(cut.Ask(Request("POST", "/write/x", "c-2"))) == 200);
}

TEST_CASE("a call goes on to the next peer if one does not listen") {
  const Endpoints endpoints;
  const Host other("c", endpoints.ports());
  Host cut("a", CutPorts());
  Cut(cut);
  cut.state().relay_directory().SetPeers(
      {{HostId("b"), ZoneId("z"), {"127.0.0.1", ClosedPort()}},
       other.relay_host()});
  CHECK(StatusOf(cut.Ask(Request("POST", "/write/x", "c-1"))) == 200);
}

// Guards against work that endpoints go on with for a caller who has left.
TEST_CASE("a caller that leaves cancels its call behind the peer") {
  const Endpoints endpoints(milliseconds(1));
  const Host peer("b", endpoints.ports());
  Host cut("a", CutPorts());
  Cut(cut);
  cut.SetPeers({&peer});
  RawConnection caller = cut.Connect();
  caller.Send(Request("GET", "/read/x", "c-1"));
  CHECK(Eventually([&] { return endpoints.runs() == 1; }));
  const TimePoint left = Clock::now();
  caller.Close();
  CHECK(Eventually([&] { return endpoints.hang_ups() == 1; }));
  CHECK(Clock::now() - left < milliseconds(500));
}

// Guards against a host that goes on relaying after the partition has healed.
TEST_CASE("a host serves its calls itself once it reaches endpoints again") {
  const Endpoints endpoints;
  const Host peer("b", endpoints.ports());
  Host cut("a", CutPorts());
  cut.SetPeers({&peer});
  Cut(cut);
  cut.SetEndpoints(endpoints.ports());
  CHECK(Eventually([&] { return cut.IsReachable(); }));
  CHECK(StatusOf(cut.Ask(Request("GET", "/read/x", "c-1"))) == 200);
}

// Guards against calls that are lost when the peer that carries them stops.
TEST_CASE("a relayed call is answered by a peer that is stopping") {
  const Endpoints endpoints;
  const Host peer("b", endpoints.ports());
  Host cut("a", CutPorts());
  cut.SetPeers({&peer});
  Cut(cut);
  peer.server().BeginStopping();
  CHECK(StatusOf(cut.Ask(Request("POST", "/write/x", "c-1"))) == 200);
  CHECK(StatusOf(cut.Ask(Request("POST", "/write/x", "c-2"))) == 200);
}

// Guards against calls that are cut off, or refused by a fleet that can serve
// them, because the peer that they are relayed to ends too soon.
TEST_CASE("a call that a stopping peer cannot finish goes on to the next one") {
  const Endpoints endpoints;
  const Host stopping("b", endpoints.ports());
  const Host peer("c", endpoints.ports());
  Host cut("a", CutPorts());
  Cut(cut);
  cut.SetPeers({&stopping, &peer});
  stopping.server().AnnounceStop(Clock::now() + milliseconds(1000));
  for (int n = 0; n < 10; ++n) {
    CHECK(StatusOf(cut.Ask(Request("POST", "/write/x", CallId(n)))) == 200);
  }
  CHECK(endpoints.runs() == 10);
  cut.server().AnnounceStop(Clock::now() + milliseconds(1000));
  const std::string refused = cut.Ask(Request("POST", "/write/x", "c-last"));
  CHECK(StatusOf(refused) == 503);
  CHECK(HeaderOf(refused, "Damasktack-Outcome") == "not-run");
  CHECK(endpoints.runs() == 10);
}

// Guards against a caller that is told that nothing ran by an answer in which
// the peer states no outcome.
TEST_CASE("a relayed call is unknown if the peer's answer states no outcome") {
  const RawEndpoint peer([](RawConnection& it) {
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      it.Send(
          "HTTP/1.1 503 Service Unavailable\r\nX-Damasktack-Not-Executed: "
          "1\r\n" +
          std::string(kCall) + ": " + HeaderOf(request, kCall) +
          "\r\nContent-Length: 0\r\n\r\n");
    }
  });
  Host cut("a", CutPorts());
  Cut(cut);
  cut.state().relay_directory().SetPeers(
      {{HostId("b"), ZoneId("z"), {"127.0.0.1", peer.port()}}});
  const std::string answer = cut.Ask(Request("POST", "/write/x", "c-1"));
  CHECK(StatusOf(answer) == 502);
  CHECK(HeaderOf(answer, "Damasktack-Outcome") == "unknown");
}

}  // namespace
}  // namespace damasktack
