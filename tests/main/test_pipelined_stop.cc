#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "main/store_daemon.h"
#include "platform/standin/standin_store.h"
#include "tests/proxy/raw_peer.h"

namespace damasktack {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kCallHeader = "\r\nX-Damasktack-Request-Id: ";

std::string CallIdOf(const std::string& request) {
  const std::size_t at = request.find(kCallHeader);
  if (at == std::string::npos) {
    return "";
  }
  const std::size_t start = at + kCallHeader.size();
  return request.substr(start, request.find("\r\n", start) - start);
}

// Answers probes at once and calls after 100 ms, and counts the calls.
RawEndpoint::Script AnswerSlowly(std::atomic<int>& started) {
  return [&started](RawConnection& it) {
    std::string request;
    while (!(request = it.ReadMessage()).empty()) {
      std::string headers = "X-Damasktack-Server-Load: 0,0,4,100\r\n";
      if (const std::string call = CallIdOf(request); !call.empty()) {
        ++started;
        std::this_thread::sleep_for(milliseconds(100));
        headers += std::string(kCallHeader.substr(2)) + call + "\r\n";
      }
      it.Send(OkAnswer("ran", headers));
    }
  };
}

std::string Request(const std::string& path, int number) {
  return "POST " + path + " HTTP/1.1\r\nHost: a.example" +
         std::string(kCallHeader) + "c-" + std::to_string(number) +
         "\r\nX-Damasktack-Deadline-Ms: 600\r\nContent-Length: 0\r\n\r\n";
}

struct CallCounts {
  std::atomic<int> ran = 0;
  std::atomic<int> closed_cleanly = 0;
};

// Keeps two requests in flight on one connection until the host closes it.
void Pipeline(std::uint16_t port,
              const std::string& path,
              int first,
              CallCounts& counts) {
  RawConnection caller = RawConnection::To(port);
  caller.Send(Request(path, first) + Request(path, first + 1));
  first += 2;
  std::string answer;
  while (!(answer = caller.ReadMessage()).empty()) {
    counts.ran += answer.starts_with("HTTP/1.1 200") ? 1 : 0;
    if (answer.find("\r\nConnection: close") != std::string::npos) {
      ++counts.closed_cleanly;
      return;
    }
    caller.Send(Request(path, first++));
  }
}

// Guards against a stop that serves a pipelining caller until the grace time
// ends and then cuts off the request that an endpoint runs.
TEST_CASE("a stop with a grace time cuts no call of a pipelining caller") {
  std::atomic<int> started = 0;
  const RawEndpoint endpoint(AnswerSlowly(started));
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
  CallCounts counts;
  std::vector<std::thread> callers;
  for (const char* path : {"/read/x", "/write/x"}) {
    callers.emplace_back([&counts, path, port = daemon.caller_port(),
                          first = static_cast<int>(callers.size()) * 1000] {
      Pipeline(port, path, first, counts);
    });
  }
  while (started < 6) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  daemon.Stop();
  for (std::thread& it : callers) {
    it.join();
  }
  CHECK(counts.closed_cleanly == 2);
  CHECK(counts.ran == started);
}

}  // namespace
}  // namespace damasktack
