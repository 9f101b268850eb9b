#include <doctest/doctest.h>
#include <httplib.h>

#include <boost/asio.hpp>
#include <string>
#include <vector>

#include "admin/admin_routes.h"
#include "admin/admin_server.h"
#include "tests/admin/fake_admin_source.h"

namespace damasktack {
namespace {

// An admin server on a free port with a client.
class Fixture {
 public:
  Fixture() : server_(Options(), source_) {
    const bool started = Try(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(server_.Start());
          return true;
        },
        [](const Error&) { return false; });
    REQUIRE(started);
  }

  std::uint16_t port() const { return server_.port(); }

  httplib::Result Send(const AdminRoute& route, const std::string& token) {
    std::string path(route.path);
    const std::size_t at = path.find("{id}");
    if (at != std::string::npos) {
      path.replace(at, 4, "h2");
    }
    return Send(route.method, path, token);
  }

  httplib::Result Send(AdminMethod method,
                       const std::string& path,
                       const std::string& token) {
    httplib::Client client("127.0.0.1", port());
    httplib::Headers headers;
    if (!token.empty()) {
      headers.emplace("Authorization", "Bearer " + token);
    }
    switch (method) {
      case AdminMethod::kPost:
        return client.Post(path.c_str(), headers, "", "text/plain");
      case AdminMethod::kDelete:
        return client.Delete(path.c_str(), headers);
      case AdminMethod::kGet:
        break;
    }
    return client.Get(path.c_str(), headers);
  }

  Json Get(const std::string& path) {
    const httplib::Result result = Send(AdminMethod::kGet, path, kFakeToken);
    REQUIRE(result);
    REQUIRE(result->status == 200);
    return Json::parse(result->body);
  }

 private:
  static AdminOptions Options() {
    AdminOptions options;
    options.listen = SocketAddress{"127.0.0.1", 0};
    options.token = kFakeToken;
    return options;
  }

  FakeAdminSource source_;
  AdminServer server_;
};

TEST_CASE("only open routes can be used without the token") {
  Fixture fixture;
  for (const AdminRoute& it : AdminRoutes()) {
    CAPTURE(it.path);
    const bool open = it.access == AdminAccess::kOpen;
    const std::vector<std::string> wrong = {"", "x",
                                            std::string(kFakeToken) + "x",
                                            std::string(kFakeToken).substr(1)};
    for (const std::string& token : wrong) {
      const auto result = fixture.Send(it, token);
      REQUIRE(result);
      CHECK(result->status == (open ? 200 : 401));
      CHECK((open || result->body.find("remedy") != std::string::npos));
    }
  }
  // A rejected request must have no effect.
  CHECK(fixture.Get("/v1/status")["drained"] == false);
}

TEST_CASE("no response contains the token, a key or its digest") {
  Fixture fixture;
  for (const AdminRoute& it : AdminRoutes()) {
    CAPTURE(it.path);
    for (const char* token : {kFakeToken, "wrong"}) {
      const auto result = fixture.Send(it, token);
      REQUIRE(result);
      std::string text = result->body;
      for (const auto& [name, value] : result->headers) {
        text += value;
      }
      CHECK(text.find(kFakeToken) == std::string::npos);
      CHECK(text.find(kFakeDigest) == std::string::npos);
    }
  }
}

TEST_CASE("each route returns the data of the source") {
  Fixture fixture;
  const Json status = fixture.Get("/v1/status");
  CHECK(status["contracts_revision"] == 7);
  CHECK(status["services_revision"] == 3);
  CHECK(status["hosts_revision"] == 4);
  CHECK(status["uptime_us"] == 2'000'000);
  const Json contracts = fixture.Get("/v1/contracts");
  CHECK(contracts["documents"][0]["refused"]["revision"] == 8);
  CHECK(contracts["documents"][0]["refused"]["remedy"] == "rename it");
  CHECK(contracts["documents"][1]["refused"].is_null());
  CHECK(contracts["contracts"][0]["keys"] == 1);
  const Json endpoints = fixture.Get("/v1/endpoints");
  const Json& endpoint = endpoints["services"][0]["endpoints"][0];
  CHECK(endpoint["state"] == "ejected");
  CHECK(endpoint["reason"] == "errors in bulk");
  CHECK(endpoint["report_age_us"] == 3000);
  CHECK(fixture.Get("/v1/probes")["services"][0]["sent"] == 12);
  CHECK(fixture.Get("/v1/peers")["peers"][0]["listed"] == "leaving");
  const Json customers = fixture.Get("/v1/customers");
  CHECK(customers["customers"][0]["calls_per_second"]["lent_milli"] == 1000);
  const Json histograms = fixture.Get("/v1/histograms");
  CHECK(histograms["histograms"][0]["total"][0]["count"] == 10);
}

TEST_CASE("a drained host is not ready until the drain is undone") {
  Fixture fixture;
  const auto readiness = [&] {
    return fixture.Send(AdminMethod::kGet, "/readyz", "")->status;
  };
  CHECK(readiness() == 200);
  CHECK(fixture.Send(AdminMethod::kPost, "/v1/drain", kFakeToken)->status ==
        200);
  CHECK(readiness() == 503);
  CHECK(fixture.Send(AdminMethod::kDelete, "/v1/drain", kFakeToken)->status ==
        200);
  CHECK(readiness() == 200);
}

TEST_CASE("a request that cannot be carried out returns an error") {
  Fixture fixture;
  const auto unknown =
      fixture.Send(AdminMethod::kPost, "/v1/hosts/h9/gone", kFakeToken);
  CHECK(unknown->status == 409);
  CHECK(Json::parse(unknown->body)["kind"] == "unknown-reference");
  const auto not_found =
      fixture.Send(AdminMethod::kGet, "/v1/nothing", kFakeToken);
  CHECK(not_found->status == 404);
  CHECK(not_found->body.find("/v1/status") != std::string::npos);
}

// Idle connections of a client must not occupy all threads: the platform's
// balancer would get no answer to its readiness check and take a healthy host
// out of service.
TEST_CASE("idle connections do not block the readiness check") {
  Fixture fixture;
  boost::asio::io_context context;
  std::vector<boost::asio::ip::tcp::socket> idle;
  const boost::asio::ip::tcp::endpoint server(
      boost::asio::ip::make_address("127.0.0.1"), fixture.port());
  for (int n = 0; n < 8; ++n) {
    idle.emplace_back(context);
    idle.back().connect(server);
  }
  httplib::Client client("127.0.0.1", fixture.port());
  client.set_read_timeout(std::chrono::seconds(30));
  const auto result = client.Get("/readyz");
  REQUIRE(result);
  CHECK(result->status == 200);
}

TEST_CASE("a request body above the size limit is rejected") {
  Fixture fixture;
  httplib::Client client("127.0.0.1", fixture.port());
  client.set_bearer_token_auth(kFakeToken);
  const auto result =
      client.Post("/v1/drain", std::string(1 << 20, 'x'), "text/plain");
  CHECK((!result || result->status == 413));
  CHECK(fixture.Get("/v1/status")["drained"] == false);
}

TEST_CASE("an empty expected token matches no token") {
  CHECK(!IsSameSecret("", ""));
  CHECK(!IsSameSecret("a", "b"));
  CHECK(IsSameSecret("same", "same"));
}

// Guards against a caller that fills a host's memory through the readiness
// port with a request that never ends.
TEST_CASE("a request without end is cut off when it is too large") {
  namespace asio = boost::asio;
  constexpr std::size_t kMaxSentBytes = 64 << 20;
  Fixture fixture;
  const std::string chunked =
      "POST /v1/drain HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n";
  for (const std::string& begin :
       {std::string("GET /"), std::string("GET /v1/status HTTP/1.1\r\nX: "),
        chunked, chunked + "5;x=", chunked + "0\r\nX: "}) {
    CAPTURE(begin);
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), fixture.port()});
    const std::string part(64 << 10, '0');
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(begin), ec);
    for (std::size_t n = 0; !ec && n < kMaxSentBytes; n += part.size()) {
      asio::write(socket, asio::buffer(part), ec);
    }
    CHECK(ec);
  }
  CHECK(fixture.Get("/v1/status").is_object());
}

}  // namespace
}  // namespace damasktack
