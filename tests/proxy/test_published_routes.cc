#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "platform/kv_names.h"
#include "proxy/caller_server.h"
#include "proxy_fixture.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr auto kCall = "X-Damasktack-Request-Id";

std::string Request(const std::string& method,
                    const std::string& target,
                    const std::string& call,
                    const std::string& body = "") {
  return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n" + kCall +
         ": " + call +
         "\r\nX-Damasktack-Deadline-Ms: 2000\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An answer that names the call of the request.
std::string AnswerTo(const std::string& request, const std::string& body) {
  return OkAnswer(
      body, std::string(kCall) + ": " + HeaderOf(request, kCall) + "\r\n");
}

constexpr auto kFree = "X-Damasktack-Server-Load: 0,0,16,100\r\n";

// What a free endpoint says to a probe.
std::string HealthOf(const std::string& id) {
  return OkAnswer("", "X-Damasktack-Instance-Id: " + id + "\r\n" + kFree);
}

// A host whose callers go by routes: "/read/" is safe, "/write/" is not.
class RouteFixture {
 public:
  explicit RouteFixture(const std::vector<std::uint16_t>& ports,
                        bool measures = false) {
    ProxyOptions options = ProxyFixture::FastOptions();
    options.names = KvProtocolNames();
    options.measures_before_sending = measures;
    // Each call may be sent once more, whatever came before.
    options.balancer.retries.service_percent = 100;
    state_ = std::make_unique<ProxyState>(options, limits_, claims_);
    server_ = std::make_unique<CallerServer>(*state_);
    auto book = std::make_shared<RouteTable>();
    book->version = 1;
    book->services = {{ServiceId("s"), "/health", 250}};
    book->routes = {MakeRoute("/read/", true), MakeRoute("/write/", false)};
    ServiceSpec service;
    service.id = ServiceId("s");
    service.health_path = "/health";
    service.echoes_call = true;
    for (const std::uint16_t port : ports) {
      EndpointSpec endpoint;
      endpoint.id = EndpointId("i-" + std::to_string(service.endpoints.size()));
      endpoint.address = {"127.0.0.1", port};
      endpoint.slots = 16;
      service.endpoints.push_back(endpoint);
    }
    state_->SetRouting(
        std::make_shared<RoutingTable>(book, std::vector{service}), 1,
        Clock::now());
    Try([&] { return server_->Start(); },
        [](const Error& error) { FAIL(ToString(error)); });
  }
  ~RouteFixture() { server_->Stop(); }

  RawConnection Connect() const { return RawConnection::To(server_->port()); }
  ProxyState& state() const { return *state_; }
  std::string Ask(const std::string& request) const {
    RawConnection caller = Connect();
    caller.Send(request);
    return caller.ReadMessage();
  }

 private:
  static Route MakeRoute(const std::string& prefix, bool idempotent) {
    Route route;
    route.host = "a.example";
    route.prefix = prefix;
    route.idempotent = idempotent;
    route.timeout = milliseconds(1000);
    route.latency_objective = milliseconds(400);
    route.targets = {{ServiceId("s"), 1}};
    route.contract.customer = CustomerId(prefix);
    route.contract.retry_percent = 100;
    return route;
  }

  OpenLimitGate limits_;
  OpenClaimGate claims_;
  std::unique_ptr<ProxyState> state_;
  std::unique_ptr<CallerServer> server_;
};

TEST_CASE("a request goes on unchanged, to the endpoint that it names") {
  std::string seen;
  const RawEndpoint endpoint([&](RawConnection& it) {
    seen = it.ReadMessage();
    it.Send(AnswerTo(seen, "ran"));
    it.WaitForHangUp();
  });
  const RouteFixture proxy({endpoint.port()});
  const std::string answer =
      proxy.Ask(Request("POST", "/write/a%2Fb?q=1", "c-1", "body"));
  CHECK(StatusOf(answer) == 200);
  CHECK(BodyOf(answer) == "ran");
  CHECK(seen.starts_with("POST /write/a%2Fb?q=1 HTTP/1.1\r\n"));
  CHECK(HeaderOf(seen, kCall) == "c-1");
  CHECK(HeaderOf(seen, "X-Damasktack-Target-Instance") == "i-0");
  const int left = std::stoi(HeaderOf(seen, "X-Damasktack-Deadline-Ms"));
  CHECK(left <= 1000);
  CHECK(left > 500);
  CHECK(BodyOf(seen) == "body");
}

// A caller reaches a host that has just started and does not know the routes
// yet. Refused at once it would have used up its retry although the host knows
// them a moment later; its call waits for them instead.
TEST_CASE("a call waits for a starting host that is about to know the routes") {
  const RawEndpoint endpoint([&](RawConnection& it) {
    it.Send(AnswerTo(it.ReadMessage(), "ran"));
    it.WaitForHangUp();
  });
  const RouteFixture proxy({endpoint.port()});
  const TimePoint known_at = Clock::now() + milliseconds(100);
  proxy.state().SetIsCurrent([=] { return Clock::now() >= known_at; },
                             Clock::now() + std::chrono::minutes(1));
  CHECK(StatusOf(proxy.Ask(Request("GET", "/read/x", "c-1"))) == 200);
}

// The store is out of reach when the host starts, so nobody knows when it will
// have routes. Its callers are told at once that nothing ran.
TEST_CASE("a host that stays without routes refuses at once") {
  const RouteFixture proxy({});
  proxy.state().SetIsCurrent([] { return false; }, Clock::now());
  const std::string answer = proxy.Ask(Request("POST", "/write/x", "c-1"));
  CHECK(StatusOf(answer) == 503);
  CHECK(HeaderOf(answer, "Retry-After") == "0.150");
}

// Endpoints refuse some calls although there is room at others, and the budget
// for repeats is spent. A caller that is sent away for a second comes back too
// late for its objective; there is room for it at once.
TEST_CASE("a caller whose call one endpoint refused may come back at once") {
  const auto refuse = [](RawConnection& it) {
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      const bool is_probe = request.starts_with("GET /health");
      it.Send(is_probe
                  ? OkAnswer("", "X-Damasktack-Server-Load: 0,0,16,100\r\n")
                  : "HTTP/1.1 503 Service Unavailable\r\n"
                    "X-Damasktack-Not-Executed: 1\r\n"
                    "Content-Length: 0\r\n\r\n");
    }
  };
  const RawEndpoint first(refuse);
  const RawEndpoint second(refuse);
  const RouteFixture proxy({first.port(), second.port()}, true);
  const std::string answer = proxy.Ask(Request("POST", "/write/x", "c-1"));
  CHECK(StatusOf(answer) == 503);
  const double retry_after = std::stod(HeaderOf(answer, "Retry-After"));
  CHECK(retry_after > 0);
  CHECK(retry_after < 0.1);
}

TEST_CASE("no route means 404, and another host's route is none") {
  const RouteFixture proxy({});
  CHECK(StatusOf(proxy.Ask(Request("GET", "/other/", "c-1"))) == 404);
  CHECK(StatusOf(proxy.Ask(Request("GET", "/read", "c-1"))) == 404);
  std::string request = Request("GET", "/read/x", "c-1");
  request.replace(request.find("a.example"), 9, "b.example");
  CHECK(StatusOf(proxy.Ask(request)) == 404);
}

// A renewal is sent to an endpoint whose address has passed to another one.
// That one refuses it unrun, so it may be sent elsewhere although it must not
// run twice.
TEST_CASE("a request for an endpoint that is gone is sent to another") {
  std::atomic<int> refused = 0;
  const RawEndpoint other([&](RawConnection& it) {
    while (!it.ReadMessage().empty()) {
      ++refused;
      it.Send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
    }
  });
  const RawEndpoint right([](RawConnection& it) {
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      it.Send(AnswerTo(request, "ran"));
    }
  });
  const RouteFixture proxy({other.port(), right.port()});
  // Each call is drawn to one of the two; all of the first eight go to the
  // right one in about 1 run of 200, and then nothing has been tried yet.
  constexpr int kFewest = 8;
  constexpr int kMost = 64;
  for (int n = 0; n < kFewest || (refused == 0 && n < kMost); ++n) {
    const std::string answer =
        proxy.Ask(Request("POST", "/write/x", "c-" + std::to_string(n)));
    CHECK(StatusOf(answer) == 200);
  }
  CHECK(refused >= 1);
}

// Renewals are refused, each after two endpoints refused it unrun. Those are
// gone and their addresses have passed to endpoints of another service. These
// say that they did not run the call, as one does that is full, and they answer
// probes: free as they are, they drew the next calls as well.
TEST_CASE("an address that passed to another endpoint gets one call at most") {
  std::atomic<int> refused = 0;
  const RawEndpoint other([&](RawConnection& it) {
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      if (request.starts_with("GET /health")) {
        it.Send(HealthOf("i-another"));
        continue;
      }
      ++refused;
      it.Send(
          "HTTP/1.1 421 Misdirected Request\r\n"
          "X-Damasktack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    }
  });
  const RawEndpoint right([](RawConnection& it) {
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      const bool is_probe = request.starts_with("GET /health");
      it.Send(is_probe ? HealthOf("i-1")
                       : OkAnswer("ran", std::string(kCall) + ": " +
                                             HeaderOf(request, kCall) + "\r\n" +
                                             kFree));
    }
  });
  for (const bool measures : {false, true}) {
    refused = 0;
    const RouteFixture proxy({other.port(), right.port()}, measures);
    constexpr int kCalls = 64;
    for (int n = 0; n < kCalls; ++n) {
      const std::string answer =
          proxy.Ask(Request("POST", "/write/x", "c-" + std::to_string(n)));
      CHECK(StatusOf(answer) == 200);
    }
    CHECK(refused <= 1);
  }
}

// A caller waits for its answer, and the first answer on the connection is a
// second one to an earlier call. Its own stands right behind.
TEST_CASE("an answer to an earlier call is passed over") {
  const RawEndpoint endpoint([](RawConnection& it) {
    const std::string request = it.ReadMessage();
    it.Send(OkAnswer("another's", std::string(kCall) + ": c-0\r\n") +
            AnswerTo(request, "own"));
    it.WaitForHangUp();
  });
  const RouteFixture proxy({endpoint.port()});
  const std::string answer = proxy.Ask(Request("POST", "/write/x", "c-1"));
  CHECK(StatusOf(answer) == 200);
  CHECK(BodyOf(answer) == "own");
}

TEST_CASE("an answer without a length ends with its connection") {
  const RawEndpoint endpoint([](RawConnection& it) {
    const std::string request = it.ReadMessage();
    it.Send("HTTP/1.1 200 OK\r\n" + std::string(kCall) + ": " +
            HeaderOf(request, kCall) + "\r\n\r\nall of it");
    it.FinishSending();
    it.WaitForHangUp();
  });
  const RouteFixture proxy({endpoint.port()});
  const std::string answer = proxy.Ask(Request("POST", "/write/x", "c-1"));
  CHECK(StatusOf(answer) == 200);
  CHECK(BodyOf(answer) == "all of it");
  CHECK(HeaderOf(answer, "Content-Length") == "9");
}

TEST_CASE("an answer without a length that is reset is not whole") {
  const RawEndpoint endpoint([](RawConnection& it) {
    const std::string request = it.ReadMessage();
    it.Send("HTTP/1.1 200 OK\r\n" + std::string(kCall) + ": " +
            HeaderOf(request, kCall) + "\r\n\r\nhalf of");
    it.Reset();
  });
  const RouteFixture proxy({endpoint.port()});
  CHECK(StatusOf(proxy.Ask(Request("POST", "/write/x", "c-1"))) == 502);
}

// A keeper's tablet sends further status reads before the first is answered.
// Served one after the other, the last would take the time of all of them.
TEST_CASE("safe requests that are sent ahead are served at the same time") {
  std::atomic<int> at_work = 0;
  std::atomic<int> most_at_work = 0;
  const RawEndpoint endpoint([&](RawConnection& it) {
    const std::string request = it.ReadMessage();
    const int now = ++at_work;
    most_at_work = std::max<int>(most_at_work, now);
    std::this_thread::sleep_for(milliseconds(80));
    --at_work;
    it.Send(AnswerTo(request, HeaderOf(request, kCall)));
    it.WaitForHangUp();
  });
  const RouteFixture proxy({endpoint.port()});
  RawConnection caller = proxy.Connect();
  caller.Send(Request("GET", "/read/1", "c-1") +
              Request("GET", "/read/2", "c-2") +
              Request("GET", "/read/3", "c-3"));
  for (const char* it : {"c-1", "c-2", "c-3"}) {
    CHECK(BodyOf(caller.ReadMessage()) == it);
  }
  CHECK(most_at_work == 3);
}

TEST_CASE("requests that may run once are served one after the other") {
  std::atomic<int> at_work = 0;
  std::atomic<int> most_at_work = 0;
  const RawEndpoint endpoint([&](RawConnection& it) {
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      most_at_work = std::max<int>(most_at_work, ++at_work);
      std::this_thread::sleep_for(milliseconds(30));
      --at_work;
      it.Send(AnswerTo(request, HeaderOf(request, kCall)));
    }
  });
  const RouteFixture proxy({endpoint.port()});
  RawConnection caller = proxy.Connect();
  caller.Send(Request("POST", "/write/1", "c-1") +
              Request("POST", "/write/2", "c-2"));
  CHECK(BodyOf(caller.ReadMessage()) == "c-1");
  CHECK(BodyOf(caller.ReadMessage()) == "c-2");
  CHECK(most_at_work == 1);
}

// The caller closes while three of its requests run. They stop at the
// endpoint, so that they take no slots from others.
TEST_CASE("a caller that leaves cancels all that it sent ahead") {
  std::atomic<int> cancelled = 0;
  const RawEndpoint endpoint([&](RawConnection& it) {
    it.ReadMessage();
    cancelled += it.WaitForHangUp() ? 1 : 0;
  });
  const RouteFixture proxy({endpoint.port()});
  {
    RawConnection caller = proxy.Connect();
    caller.Send(Request("GET", "/read/1", "c-1") +
                Request("GET", "/read/2", "c-2") +
                Request("GET", "/read/3", "c-3"));
    while (endpoint.connections() < 3) {
      std::this_thread::sleep_for(milliseconds(1));
    }
    caller.Close();
  }
  for (int n = 0; n < 5000 && cancelled < 3; ++n) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(cancelled == 3);
}

TEST_CASE("a refusal says when to come back, to the millisecond") {
  const RouteFixture proxy({});
  const std::string answer = proxy.Ask(Request("GET", "/read/x", "c-1"));
  CHECK(StatusOf(answer) == 503);
  CHECK(HeaderOf(answer, "Retry-After").find('.') != std::string::npos);
}

}  // namespace
}  // namespace damasktack
