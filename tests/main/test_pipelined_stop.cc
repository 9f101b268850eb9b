#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "main/store_daemon.h"
#include "platform/standin/standin_store.h"
#include "tests/proxy/raw_peer.h"
#include "tests/support/daemon_fleets.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

std::string HeaderOf(const std::string& request, const std::string& name) {
  const std::string line = "\r\n" + name + ": ";
  const std::size_t at = request.find(line);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t start = at + line.size();
  return request.substr(start, request.find("\r\n", start) - start);
}

// Answers probes at once and calls after 100 ms, and counts the calls.
RawEndpoint::Script AnswerSlowly(std::atomic<int>& started,
                                 const std::string& call_header,
                                 const std::string& load) {
  return [=, &started](RawConnection& it) {
    std::string request;
    while (!(request = it.ReadMessage()).empty()) {
      std::string headers = load + "\r\n";
      if (const std::string call = HeaderOf(request, call_header);
          !call.empty()) {
        ++started;
        std::this_thread::sleep_for(milliseconds(100));
        headers.append(call_header).append(": ").append(call).append("\r\n");
      }
      it.Send(OkAnswer("ran", headers));
    }
  };
}

std::string StoreRequest(const std::string& path, int number) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: a.example\r\nX-Damasktack-Request-Id: c-" +
         std::to_string(number) +
         "\r\nX-Damasktack-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n";
}

std::string DocumentRequest(const std::string& path, int /*number*/) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h\r\nDamasktack-Key: key\r\n"
         "Content-Length: 0\r\n\r\n";
}

struct CallCounts {
  std::atomic<int> ran = 0;
  std::atomic<int> closed_cleanly = 0;
};

using MakeRequest = std::string(const std::string& path, int number);

// Keeps two requests in flight on one connection until the host closes it.
void Pipeline(std::uint16_t port,
              MakeRequest* make_request,
              const std::string& path,
              int first,
              CallCounts& counts) {
  RawConnection caller = RawConnection::To(port);
  caller.Send(make_request(path, first) + make_request(path, first + 1));
  first += 2;
  std::string answer;
  while (!(answer = caller.ReadMessage()).empty()) {
    counts.ran += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
    if (answer.find("\r\nConnection: close") != std::string::npos) {
      ++counts.closed_cleanly;
      return;
    }
    caller.Send(make_request(path, first++));
  }
}

// Stops the daemon while a caller pipelines to each of the paths.
template <typename AnyDaemon>
void StopUnderPipelining(AnyDaemon& daemon,
                         MakeRequest* make_request,
                         const std::vector<std::string>& paths,
                         const std::atomic<int>& started) {
  CallCounts counts;
  std::vector<std::thread> callers;
  for (const std::string& path : paths) {
    callers.emplace_back(Pipeline, daemon.caller_port(), make_request, path,
                         static_cast<int>(callers.size()) * 1000,
                         std::ref(counts));
  }
  while (started < 6) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  daemon.Stop();
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(counts.closed_cleanly.load() == static_cast<int>(paths.size()));
  CHECK(counts.ran.load() == started.load());
}

// Guards against a stop that serves a pipelining caller until the grace time
// ends and then cuts off the request that an endpoint runs.
TEST_CASE("a stop with a grace time cuts no call of a pipelining caller") {
  std::atomic<int> started = 0;
  const RawEndpoint endpoint(
      AnswerSlowly(started, "X-Damasktack-Request-Id",
                   "X-Damasktack-Server-Load: 0,0,4,100"));
  StandinStore store;
  store.PutJson("op/config", R"({"version":3,"routes":{"columns":["name","host",
"prefix","kind","timeout_ms","service"],
"rows":[["r","a.example","/read/","safe",600,"s"],
["w","a.example","/write/","unsafe",600,"s"]]},
"services":{"columns":["name"],"rows":[["s"]]}})");
  store.PutJson("servers/i-1", R"({"address":"127.0.0.1:)" +
                                   std::to_string(endpoint.port()) +
                                   R"(","info":{"service":"s","version":"v1",
"zone":"z1","slots":4},"status":{"state":"ready","sequence":1,"cold_ms":0}})");
  Settings settings;
  settings.host = HostId("h1");
  settings.zone = ZoneId("z1");
  settings.proxy.listen = SocketAddress{"127.0.0.1", 0};
  settings.proxy.measures_before_sending = true;
  settings.admin.listen = SocketAddress{"127.0.0.1", 0};
  settings.admin.public_only = true;
  settings.store.enabled = true;
  settings.store.address = SocketAddress{"127.0.0.1", store.port()};
  settings.stop.lag = milliseconds(50);
  settings.stop.grace_seconds = 2.4;
  StoreDaemon daemon(settings);
  Try([&] { return daemon.Start(); },
      [](const Error& error) { FAIL(ToString(error)); });
  while (!daemon.Ready()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  StopUnderPipelining(daemon, StoreRequest, {"/read/x", "/write/x"}, started);
}

// Guards against the same in a daemon that reads documents.
TEST_CASE("a stop of a host with contracts cuts no call that was pipelined") {
  std::atomic<int> started = 0;
  const RawEndpoint endpoint(
      AnswerSlowly(started, "Damasktack-Call",
                   "Endpoint-Load: in_flight=0, queued=0, slots=4"));
  DocumentFleet fleet(
      1, {endpoint.port()}, R"([{"service": "dispatch",
"path_prefix": "/read", "idempotent": true, "deadline": "600ms"},
{"service": "dispatch", "deadline": "600ms"}])",
      [](Settings& settings) { settings.stop.grace_seconds = 2.4; });
  StopUnderPipelining(fleet.daemon(0), DocumentRequest,
                      {"/dispatch/read", "/dispatch/write"}, started);
}

}  // namespace
}  // namespace damasktack
