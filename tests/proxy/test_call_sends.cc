#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "platform/kv_names.h"
#include "proxy/call_parameters.h"
#include "proxy/caller_server.h"
#include "proxy_fixture.h"
#include "standin/standin_endpoint.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr auto kCall = "X-Damasktack-Request-Id";
constexpr auto kIdleLoad = "X-Damasktack-Server-Load: 0,0,16,100\r\n";
constexpr auto kShed =
    "HTTP/1.1 503 Service Unavailable\r\nX-Damasktack-Not-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr auto kServerError =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

std::string Answer(const std::string& request, const std::string& body) {
  return OkAnswer(body, std::string(kCall) + ": " + HeaderOf(request, kCall) +
                            "\r\n" + kIdleLoad);
}

void WaitUntil(const std::function<bool()>& holds) {
  for (int n = 0; n < 5000 && !holds(); ++n) {
    std::this_thread::sleep_for(milliseconds(1));
  }
}

// Two endpoints that answer probes and calls at once, except that the test
// decides what happens to the sends of "/read/slow" and "/write/slow", numbered
// from 1 in the order of their arrival.
class HedgeFixture {
 public:
  using Script =
      std::function<void(int number, RawConnection&, const std::string&)>;

  explicit HedgeFixture(Script script, ProxyOptions options = Options())
      : script_(std::move(script)),
        state_(std::make_unique<ProxyState>(options, limits_, claims_)),
        server_(std::make_unique<CallerServer>(*state_)) {
    state_->SetRouting(
        MakeReadWriteRoutes({first_.port(), second_.port()}, Traits()), 1,
        Clock::now());
    Try([&] { return server_->Start(); },
        [](const Error& error) { FAIL(ToString(error)); });
    // The usual time of the route must be known.
    RawConnection caller = Connect();
    for (int n = 0; n < 40; ++n) {
      caller.Send(Request("GET", "/read/x"));
      CHECK(BodyOf(caller.ReadMessage()) == "/read/x");
    }
  }
  ~HedgeFixture() { server_->Stop(); }

  static ProxyOptions Options() {
    ProxyOptions options = ProxyFixture::FastOptions();
    options.names = KvProtocolNames();
    options.measures_before_sending = true;
    options.hedge_timeout_factor = 3.5;
    options.hedge.max_fraction = 1;
    options.measured.retries.service_percent = 100;
    return options;
  }

  RawConnection Connect() const { return RawConnection::To(server_->port()); }
  std::string Request(const std::string& method, const std::string& target) {
    return method + " " + target + " HTTP/1.1\r\nHost: a.example\r\n" + kCall +
           ": c-" + std::to_string(++calls_) +
           "\r\nX-Damasktack-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
  }
  std::string Ask(const std::string& method, const std::string& target) {
    RawConnection caller = Connect();
    caller.Send(Request(method, target));
    return caller.ReadMessage();
  }
  ProxyState& state() { return *state_; }
  std::uint64_t hedges(HedgeEnd end) { return state_->counters().hedges(end); }
  CallerServer& server() { return *server_; }
  int arrivals() const { return arrivals_; }

 private:
  static Route Traits() {
    Route route;
    route.timeout = milliseconds(1000);
    route.latency_objective = milliseconds(100);
    route.contract.retry_percent = 100;
    return route;
  }

  void Serve(RawConnection& it, const std::string& id) {
    for (std::string request = it.ReadMessage(); !request.empty();
         request = it.ReadMessage()) {
      const std::string target = request.substr(
          request.find(' ') + 1, request.find(" HTTP") - request.find(' ') - 1);
      if (target == "/health") {
        it.Send(OkAnswer(
            "", "X-Damasktack-Instance-Id: " + id + "\r\n" + kIdleLoad));
      } else if (target.ends_with("/slow")) {
        script_(++arrivals_, it, request);
      } else {
        it.Send(Answer(request, target));
      }
    }
  }

  Script script_;
  std::atomic<int> arrivals_ = 0;
  int calls_ = 0;
  RawEndpoint first_{[this](RawConnection& it) { Serve(it, "i-0"); }};
  RawEndpoint second_{[this](RawConnection& it) { Serve(it, "i-1"); }};
  OpenLimitGate limits_;
  OpenClaimGate claims_;
  std::unique_ptr<ProxyState> state_;
  std::unique_ptr<CallerServer> server_;
};

// Guards against callers that wait for their whole timeout because one answer
// was lost without a sign.
TEST_CASE("a call whose answer is lost is answered by its second send") {
  std::atomic<bool> is_cancelled = false;
  HedgeFixture proxy(
      [&](int number, RawConnection& it, const std::string& request) {
        if (number == 1) {
          is_cancelled = it.WaitForHangUp();
          return;
        }
        it.Send(Answer(request, "second"));
      });
  CHECK(BodyOf(proxy.Ask("GET", "/read/slow")) == "second");
  CHECK(proxy.hedges(HedgeEnd::kWon) == 1);
  WaitUntil([&] { return is_cancelled.load(); });
  CHECK(is_cancelled);
}

TEST_CASE("the answer of a losing send that runs on is never delivered") {
  std::atomic<bool> may_answer = false;
  ProxyOptions options = HedgeFixture::Options();
  options.hedge.losing_send.action = LosingSend::kRunsOn;
  HedgeFixture proxy(
      [&](int number, RawConnection& it, const std::string& request) {
        if (number == 1) {
          WaitUntil([&] { return may_answer.load(); });
        }
        it.Send(Answer(request, number == 1 ? "first" : "second"));
      },
      options);
  RawConnection caller = proxy.Connect();
  caller.Send(proxy.Request("GET", "/read/slow"));
  CHECK(BodyOf(caller.ReadMessage()) == "second");
  CHECK(proxy.state().calls_in_flight() == 0);
  may_answer = true;
  for (int n = 0; n < 20; ++n) {
    const std::string target = "/read/" + std::to_string(n);
    caller.Send(proxy.Request("GET", target));
    CHECK(BodyOf(caller.ReadMessage()) == target);
  }
}

TEST_CASE("a call is answered by the other send if one of two fails") {
  for (const bool first_fails : {true, false}) {
    for (const std::string failure : {"reset", kShed, kServerError}) {
      CAPTURE(first_fails);
      CAPTURE(failure);
      std::atomic<bool> has_failed = false;
      HedgeFixture proxy(
          [&](int number, RawConnection& it, const std::string& request) {
            if ((number == 1) != first_fails) {
              WaitUntil([&] { return has_failed.load(); });
              std::this_thread::sleep_for(milliseconds(20));
              it.Send(Answer(request, "answer"));
              return;
            }
            WaitUntil([&] { return proxy.arrivals() == 2; });
            has_failed = true;
            if (failure == "reset") {
              it.Reset();
            } else {
              it.Send(failure);
            }
          });
      const std::string answer = proxy.Ask("GET", "/read/slow");
      CHECK(StatusOf(answer) == 200);
      CHECK(BodyOf(answer) == "answer");
      CHECK(proxy.arrivals() == 2);
    }
  }
}

// Guards against "not-run" for a call that one of its two sends ran.
TEST_CASE("a call is reported as not run only if neither of two sends ran") {
  for (const bool runs : {false, true}) {
    CAPTURE(runs);
    HedgeFixture proxy([&](int number, RawConnection& it, const std::string&) {
      WaitUntil([&] { return proxy.arrivals() == 2; });
      if (number == 1 && runs) {
        it.Reset();
      } else {
        it.Send(kShed);
      }
    });
    const std::string answer = proxy.Ask("GET", "/read/slow");
    CHECK(HeaderOf(answer, KvProtocolNames().outcome) ==
          (runs ? "unknown" : "not-run"));
    CHECK(proxy.arrivals() == 2);
    CHECK(proxy.hedges(HedgeEnd::kFailed) == 1);
  }
}

TEST_CASE("a caller that leaves cancels both sends") {
  std::atomic<int> cancelled = 0;
  HedgeFixture proxy([&](int, RawConnection& it, const std::string&) {
    cancelled += it.WaitForHangUp() ? 1 : 0;
  });
  RawConnection caller = proxy.Connect();
  caller.Send(proxy.Request("GET", "/read/slow"));
  WaitUntil([&] { return proxy.arrivals() == 2; });
  caller.Close();
  WaitUntil([&] { return cancelled == 2; });
  CHECK(cancelled == 2);
}

// Guards against a losing send that keeps a slot busy for nobody, and against a
// stop that waits for it.
TEST_CASE("a losing send ends with its caller's connection and with a stop") {
  for (const bool stops : {false, true}) {
    CAPTURE(stops);
    std::atomic<bool> is_cancelled = false;
    ProxyOptions options = HedgeFixture::Options();
    options.hedge.losing_send.action = LosingSend::kRunsOn;
    HedgeFixture proxy(
        [&](int number, RawConnection& it, const std::string& request) {
          if (number == 1) {
            is_cancelled = it.WaitForHangUp();
            return;
          }
          it.Send(Answer(request, "second"));
        },
        options);
    RawConnection caller = proxy.Connect();
    caller.Send(proxy.Request("GET", "/read/slow"));
    CHECK(BodyOf(caller.ReadMessage()) == "second");
    CHECK_FALSE(is_cancelled);
    if (stops) {
      proxy.server().BeginStopping();
    } else {
      caller.Close();
    }
    WaitUntil([&] { return is_cancelled.load(); });
    CHECK(is_cancelled);
  }
}

TEST_CASE("a call that must not run twice is never sent a second time") {
  HedgeFixture proxy([](int, RawConnection& it, const std::string& request) {
    std::this_thread::sleep_for(milliseconds(300));
    it.Send(Answer(request, "ran"));
  });
  CHECK(BodyOf(proxy.Ask("POST", "/write/slow")) == "ran");
  CHECK(proxy.arrivals() == 1);
}

TEST_CASE("no call is sent a second time without the setting") {
  ProxyOptions options = HedgeFixture::Options();
  options.hedge_timeout_factor = 0;
  HedgeFixture proxy(
      [](int, RawConnection& it, const std::string& request) {
        std::this_thread::sleep_for(milliseconds(300));
        it.Send(Answer(request, "ran"));
      },
      options);
  CHECK(BodyOf(proxy.Ask("GET", "/read/slow")) == "ran");
  CHECK(proxy.arrivals() == 1);
}

TEST_CASE("calls are hedged only on routes with a long enough timeout") {
  Route route;
  route.idempotent = true;
  route.attempt_limit = 2;
  route.latency_objective = milliseconds(400);
  route.timeout = milliseconds(1400);
  CHECK(MayBeHedged(route, 3.5));
  CHECK_FALSE(MayBeHedged(route, 0));
  route.timeout = milliseconds(1399);
  CHECK_FALSE(MayBeHedged(route, 3.5));
  route.timeout = milliseconds(1400);
  route.attempt_limit = 1;
  CHECK_FALSE(MayBeHedged(route, 3.5));
  route.attempt_limit = 2;
  route.idempotent = false;
  CHECK_FALSE(MayBeHedged(route, 3.5));
}

// Three stand-in endpoints behind a daemon that hedges, and what became of the
// calls of four callers.
struct StandinRun {
  int answered = 0;
  int on_time = 0;
  std::uint64_t hedges = 0;
  std::uint64_t executions = 0;
  // Executions whose connection was closed before the end.
  std::uint64_t aborted = 0;
};

StandinRun RunWithStandins(const ServiceTime& shape,
                           const EndpointFaults& faults_of_busiest,
                           LosingSend losing_send) {
  constexpr auto kObjective = milliseconds(200);
  constexpr int kCallers = 4;
  constexpr int kCallsPerCaller = 50;
  StandinEndpointOptions endpoint_options;
  endpoint_options.slots = 4;
  endpoint_options.shape = shape;
  std::vector<std::unique_ptr<StandinEndpoint>> endpoints;
  std::vector<std::uint16_t> ports;
  for (std::uint64_t n = 0; n < 3; ++n) {
    endpoint_options.seed = n + 1;
    endpoints.push_back(std::make_unique<StandinEndpoint>(endpoint_options));
    ports.push_back(endpoints.back()->Start(0));
  }
  Route route;
  route.timeout = milliseconds(2000);
  route.latency_objective = kObjective;
  route.contract.retry_percent = 100;
  const RoutingTablePtr routes = MakeReadWriteRoutes(ports, route);
  std::vector<ServiceSpec> services = routes->services();
  services[0].health_path = "/load";
  services[0].echoes_call = false;

  ProxyOptions options = HedgeFixture::Options();
  options.names = ProtocolNames();
  options.hedge.losing_send.action = losing_send;
  OpenLimitGate limits;
  OpenClaimGate claims;
  ProxyState state(options, limits, claims);
  CallerServer server(state);
  state.SetRouting(std::make_shared<RoutingTable>(routes->book(), services), 1,
                   Clock::now());
  Try([&] { return server.Start(); },
      [](const Error& error) { FAIL(ToString(error)); });
  StandinRun run;
  const auto call = [&](int calls) {
    RawConnection caller = RawConnection::To(server.port());
    for (int n = 0; n < calls; ++n) {
      const TimePoint start = Clock::now();
      caller.Send("GET /read/x HTTP/1.1\r\nHost: a.example\r\n\r\n");
      const bool is_answered = StatusOf(caller.ReadMessage()) == 200;
      const bool is_on_time = Clock::now() - start <= kObjective;
      static std::mutex mutex;
      const std::lock_guard lock(mutex);
      run.answered += is_answered ? 1 : 0;
      run.on_time += is_answered && is_on_time ? 1 : 0;
    }
  };
  call(kCallsPerCaller);
  // The host may prefer some endpoints.
  const auto busiest = std::ranges::max_element(
      endpoints, {}, [](const auto& it) { return it->executions(); });
  (*busiest)->SetFaults(faults_of_busiest);
  std::vector<std::thread> callers;
  for (int n = 0; n < kCallers; ++n) {
    callers.emplace_back(call, kCallsPerCaller);
  }
  for (std::thread& it : callers) {
    it.join();
  }
  for (const HedgeEnd it :
       {HedgeEnd::kWon, HedgeEnd::kLost, HedgeEnd::kFailed}) {
    run.hedges += state.counters().hedges(it);
  }
  server.Stop();
  for (const auto& it : endpoints) {
    it->Stop();
    run.executions += it->counts().executions;
    run.aborted += it->counts().cancelled_running;
  }
  return run;
}

// Compares the two ways to end a losing send where one execution in ten takes
// fifteen times as long.
TEST_CASE(
    "calls at slow executions are hedged, whatever the losing send does") {
  const ServiceTime shape{ServiceShape::kBimodal, milliseconds(20),
                          milliseconds(300), 0.1};
  for (const LosingSend losing_send :
       {LosingSend::kIsCancelled, LosingSend::kRunsOn}) {
    const StandinRun run = RunWithStandins(shape, {}, losing_send);
    MESSAGE("losing send " << static_cast<int>(losing_send) << ": on time "
                           << run.on_time << " of 250, hedges " << run.hedges
                           << ", executions " << run.executions << ", aborted "
                           << run.aborted);
    CHECK(run.answered == 250);
    CHECK(run.hedges > 0);
  }
}

// Guards against calls that fail at an endpoint which runs them and answers
// probes, but whose answers are lost.
TEST_CASE("all calls are answered while one endpoint loses every answer") {
  const ServiceTime shape{ServiceShape::kFixed, milliseconds(20)};
  EndpointFaults faults;
  faults.answer = AnswerFault::kNever;
  const StandinRun run =
      RunWithStandins(shape, faults, LosingSend::kRunsOnIfSoonOver);
  MESSAGE("on time " << run.on_time << " of 250, hedges " << run.hedges);
  CHECK(run.answered == 250);
  CHECK(run.hedges > 0);
}

}  // namespace
}  // namespace damasktack
