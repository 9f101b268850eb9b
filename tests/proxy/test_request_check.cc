#include <doctest/doctest.h>
#include <httplib.h>

#include <array>
#include <atomic>
#include <string>
#include <thread>

#include "proxy/request_check.h"
#include "proxy_fixture.h"

namespace damasktack {
namespace {

// A request that two servers in a chain may split differently, or that is
// malformed, with the status of its refusal.
struct BadRequest {
  const char* what;
  std::string bytes;
  int status = 400;
};

std::string Post(std::string_view headers, std::string_view body = "hello") {
  return "POST /dispatch/cut HTTP/1.1\r\nHost: h\r\nDamasktack-Key: key\r\n" +
         std::string(headers) + "\r\n" + std::string(body);
}

std::string Get(std::string_view target, std::string_view headers = "") {
  return "GET " + std::string(target) +
         " HTTP/1.1\r\nHost: h\r\nDamasktack-Key: key\r\n" +
         std::string(headers) + "\r\n";
}

std::string Trace(std::string_view headers, std::string_view body) {
  return "TRACE /dispatch/cut HTTP/1.1\r\nHost: h\r\nDamasktack-Key: key\r\n" +
         std::string(headers) + "\r\n" + std::string(body);
}

std::string Repeat(std::string_view line, int times) {
  std::string all;
  for (int n = 0; n < times; ++n) {
    all += line;
  }
  return all;
}

std::vector<BadRequest> LengthFaults() {
  const std::string chunks = "5\r\nhello\r\n0\r\n\r\n";
  return {
      {"length and chunking",
       Post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", chunks)},
      {"chunking and length",
       Post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", chunks)},
      {"two different lengths",
       Post("Content-Length: 5\r\nContent-Length: 6\r\n")},
      {"the same length twice",
       Post("Content-Length: 5\r\nContent-Length: 5\r\n")},
      {"a list of lengths", Post("Content-Length: 5, 5\r\n")},
      {"a sign before the length", Post("Content-Length: +5\r\n")},
      {"a negative length", Post("Content-Length: -5\r\n")},
      {"an empty length", Post("Content-Length:\r\n")},
      {"a hexadecimal length", Post("Content-Length: 0x5\r\n")},
      {"a huge length", Post("Content-Length: 99999999999999999999\r\n")},
      {"two Transfer-Encoding lines",
       Post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            chunks)},
      {"an unsupported Transfer-Encoding",
       Post("Transfer-Encoding: gzip, chunked\r\n", chunks), 501},
      {"a disguised Transfer-Encoding",
       Post("Transfer-Encoding: xchunked\r\n", chunks), 501},
      {"chunking in HTTP/1.0",
       "POST /dispatch/cut HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n" +
           chunks},
      {"a trailer after the chunks",
       Post("Transfer-Encoding: chunked\r\n",
            "5\r\nhello\r\n0\r\nIdempotency-Key: k\r\n\r\n")},
      {"a chunk size that is no number",
       Post("Transfer-Encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n")},
      {"a body over the limit", Post("Content-Length: 9000000\r\n"), 413},
      {"a body in TRACE", Trace("Content-Length: 5\r\n", "hello")},
      {"chunks in TRACE", Trace("Transfer-Encoding: chunked\r\n", chunks)},
  };
}

std::vector<BadRequest> HeaderFaults() {
  return {
      {"space before the colon", Get("/dispatch", "X-A : 1\r\n")},
      {"no name", Get("/dispatch", ": 1\r\n")},
      {"no colon", Get("/dispatch", "X-A\r\n")},
      {"NUL in a value", Get("/dispatch", std::string("X-A: a\0b\r\n", 10))},
      {"control character in a value", Get("/dispatch", "X-A: a\x01z\r\n")},
      {"carriage return in a value", Get("/dispatch", "X-A: a\rb\r\n")},
      {"folded line", Get("/dispatch", "X-A: a\r\n b\r\n")},
      {"folded line by tab", Get("/dispatch", "X-A: a\r\n\tb\r\n")},
      {"bare line feeds", "GET /dispatch HTTP/1.1\nHost: h\n\n"},
      {"no Host", "GET /dispatch HTTP/1.1\r\nDamasktack-Key: key\r\n\r\n"},
      {"two Hosts", Get("/dispatch", "Host: other\r\n")},
      {"two keys", Get("/dispatch", "Damasktack-Key: key\r\n")},
      {"two idempotency keys",
       Get("/dispatch", "Idempotency-Key: a\r\nIdempotency-Key: b\r\n")},
      {"an empty idempotency key", Get("/dispatch", "Idempotency-Key:\r\n")},
      {"a depth that is no number",
       Get("/dispatch", "Damasktack-Depth: -1\r\n")},
      {"a deadline that is no number",
       Get("/dispatch", "Damasktack-Deadline-Ms: 5s\r\n")},
      {"too many headers", Get("/dispatch", Repeat("X-A: 1\r\n", 200)), 431},
      {"oversized headers",
       Get("/dispatch", "X-A: " + std::string(40'000, 'a') + "\r\n"), 431},
      {"an expectation that nobody knows",
       Get("/dispatch", "Expect: magic\r\n"), 417},
  };
}

std::vector<BadRequest> LineFaults() {
  return {
      {"absolute form", Get("http://other/dispatch")},
      {"no path", Get("dispatch")},
      {"asterisk form", Get("*")},
      {"dot segments", Get("/dispatch/../renewals")},
      {"dot segments at the end", Get("/dispatch/..")},
      {"encoded dot segments", Get("/dispatch/%2e%2E/renewals")},
      {"encoded slash before dots", Get("/dispatch%2f..%2frenewals")},
      {"backslash", Get("/dispatch\\..\\renewals")},
      {"encoded NUL", Get("/dispatch/%00")},
      {"broken escape", Get("/dispatch/%zz")},
      {"control character", Get("/dispatch/\x01")},
      {"fragment", Get("/dispatch#a")},
      {"two spaces", "GET  /dispatch HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"a later version", "GET /dispatch HTTP/2.0\r\nHost: h\r\n\r\n", 505},
      {"no version", "GET /dispatch\r\nHost: h\r\n\r\n"},
      {"CONNECT", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"an empty line first", "\r\n\r\n" + Get("/dispatch")},
      {"not HTTP", "\x16\x03\x01\x02\x00\x01"},
  };
}

std::vector<BadRequest> AllFaults() {
  std::vector<BadRequest> all = LengthFaults();
  for (const auto& more : {HeaderFaults(), LineFaults()}) {
    all.insert(all.end(), more.begin(), more.end());
  }
  return all;
}

// Guards against request smuggling: another server could see the end of the
// request elsewhere and run the rest as a separate request on somebody else's
// connection. The caller must get a 4xx or 5xx with a remedy and `not-run`, the
// connection must be closed, and nothing may reach an endpoint.
TEST_CASE("an ambiguous request is refused and reaches no endpoint") {
  std::atomic<int> seen = 0;
  const RawEndpoint endpoint([&](RawConnection& it) {
    while (!it.ReadMessage().empty()) {
      ++seen;
      it.Send(OkAnswer("ran"));
    }
  });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  for (const BadRequest& bad : AllFaults()) {
    INFO(std::string(bad.what));
    RawConnection caller = proxy.Connect();
    caller.Send(bad.bytes);
    const std::string answer = caller.ReadToEnd();
    CHECK(StatusOf(answer) == bad.status);
    CHECK(HeaderOf(answer, "Damasktack-Outcome") == "not-run");
    CHECK(HeaderOf(answer, "Connection") == "close");
    CHECK(BodyOf(answer).find("\"remedy\":\"") != std::string::npos);
    CHECK(answer.find("\nHTTP/1.1 ") == std::string::npos);
  }
  CHECK(seen == 0);
}

// A rule forbids repeating a command. A caller or a library may encode the path
// differently, and the endpoint still runs the command. The rule must apply to
// every spelling.
TEST_CASE("rules apply to all spellings of a path") {
  for (const char* target :
       {"/dispatch/cut", "/dispatch/%63ut", "//dispatch///cut",
        "/dispatch%2Fcut", "/%64ispatch/cut?now=1/2"}) {
    CAPTURE(std::string(target));
    CHECK(PathForRules(target) == "/dispatch/cut");
  }
  CHECK(PathForRules("/") == "/");
  CHECK(PathForRules("/a/?b") == "/a/");
}

TEST_CASE("an escaped path finds its service and is forwarded unchanged") {
  std::string request;
  const RawEndpoint endpoint([&](RawConnection& it) {
    request = it.ReadMessage();
    it.Send(OkAnswer("ran"));
    it.WaitForHangUp();
  });
  ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  CHECK(StatusOf(proxy.Ask(Get("/%64ispatch/a%20b"))) == 200);
  CHECK(request.starts_with("GET /%64ispatch/a%20b HTTP/1.1\r\n"));
}

// Documents why cpp-httplib is not used to serve callers: its server passes
// these requests to the handler and answers 200.
TEST_CASE("cpp-httplib's server accepts ambiguous requests") {
  httplib::Server server;
  std::atomic<int> handled = 0;
  const auto handler = [&](const httplib::Request&, httplib::Response&) {
    ++handled;
  };
  server.Get("/dispatch", handler);
  server.Post("/dispatch/cut", handler);
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&] { server.listen_after_bind(); });
  const std::array<std::string, 4> requests = {
      Post("Content-Length: 5\r\nContent-Length: 6\r\n", "hello!"),
      Post("Content-Length: 5, 5\r\n"), Post("Content-Length: +5\r\n"),
      "GET /dispatch HTTP/1.1\r\nDamasktack-Key: key\r\n\r\n"};
  for (const std::string& request : requests) {
    RawConnection caller = RawConnection::To(static_cast<std::uint16_t>(port));
    caller.Send(request);
    CHECK(StatusOf(caller.ReadMessage()) == 200);
  }
  CHECK(handled == 4);
  server.stop();
  thread.join();
}

}  // namespace
}  // namespace damasktack
