#include "admin/admin_server.h"

#include <httplib.h>
#include <openssl/crypto.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "admin/admin_routes.h"
#include "admin/bounded_server.h"
#include "admin/bounded_task_queue.h"
#include "proxy/routing_table.h"

namespace damasktack {

namespace {

constexpr int kStatusUnauthorized = 401;
constexpr int kStatusNotFound = 404;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kSegment = "{id}";
constexpr std::size_t kThreads = 4;
constexpr std::size_t kMaxQueued = 16;
constexpr std::size_t kMaxBodyBytes = 4 << 10;
constexpr std::size_t kMaxRequestBytes = kMaxBodyBytes + (16 << 10);
constexpr auto kStartPoll = std::chrono::milliseconds(1);
constexpr auto kReadTimeout = std::chrono::seconds(2);
constexpr auto kFirstByteTimeout = std::chrono::seconds(1);
constexpr auto kAcceptPoll = std::chrono::seconds(1);
constexpr auto kWriteTimeout = std::chrono::seconds(5);

bool HasToken(const httplib::Request& req, const std::string& token) {
  const std::string given = req.get_header_value("Authorization");
  return given.starts_with(kBearer) &&
         IsSameSecret(std::string_view(given).substr(kBearer.size()), token);
}

// Returns the regular expression for a route's path, since cpp-httplib matches
// paths by regular expression.
std::string PatternOf(std::string_view path) {
  std::string pattern(path);
  const std::size_t at = pattern.find(kSegment);
  if (at != std::string::npos) {
    pattern.replace(at, kSegment.size(), "([^/]+)");
  }
  return pattern;
}

void Send(AdminReply reply, httplib::Response& res) {
  res.status = reply.status;
  res.set_content(reply.body, reply.content_type);
}

AdminReply UnauthorizedReply() {
  return ErrorReply(
      kStatusUnauthorized,
      Error{ErrorKind::kUnauthorized, "header Authorization", "no valid token",
            "send \"Authorization: Bearer TOKEN\" with the "
            "token from the setting admin.token"});
}

AdminReply UnknownPathReply(const httplib::Request& req) {
  std::string remedy = "use one of:";
  for (const AdminRoute& it : AdminRoutes()) {
    remedy += " " + std::string(it.path);
  }
  return ErrorReply(kStatusNotFound,
                    Error{ErrorKind::kUnknownReference, "path",
                          req.method + " " + req.path, std::move(remedy)});
}

void Configure(httplib::Server& server) {
  server.new_task_queue = [] {
    return new BoundedTaskQueue(kThreads, kMaxQueued);
  };
  server.set_payload_max_length(kMaxBodyBytes);
  // A stop request that arrives while a connection is being accepted may not
  // wake the accepting thread, and the process would never end. Therefore that
  // thread checks for a stop at this interval.
  server.set_idle_interval(kAcceptPoll);
  server.set_tcp_nodelay(true);
}

}  // namespace

bool IsSameSecret(std::string_view given, std::string_view expected) {
  // Comparing digests, which have a fixed length, also hides the length of the
  // expected token.
  const std::string given_digest = Sha256Hex(given);
  const std::string expected_digest = Sha256Hex(expected);
  return !expected.empty() &&
         CRYPTO_memcmp(given_digest.data(), expected_digest.data(),
                       expected_digest.size()) == 0;
}

struct AdminServer::Backend {
  BoundedServer server{{kMaxRequestBytes, kReadTimeout, kWriteTimeout},
                       kFirstByteTimeout};
  std::thread thread;
};

AdminServer::AdminServer(AdminOptions options, AdminSource& source)
    : options_(std::move(options)), source_(source) {}

AdminServer::~AdminServer() {
  Stop();
}

void AdminServer::RegisterRoutes() {
  httplib::Server& server = backend_->server;
  if (!options_.ready_path.empty()) {
    server.Get(options_.ready_path,
               [this](const httplib::Request& /*req*/, httplib::Response& res) {
                 Send(ReadinessReply(source_), res);
               });
  }
  for (const AdminRoute& route : AdminRoutes()) {
    if (options_.public_only && route.access == AdminAccess::kToken) {
      continue;
    }
    const auto handler = [this, &route](const httplib::Request& req,
                                        httplib::Response& res) {
      if (route.access == AdminAccess::kToken &&
          !HasToken(req, options_.token)) {
        Send(UnauthorizedReply(), res);
        return;
      }
      const std::string segment =
          req.matches.size() > 1 ? req.matches[1].str() : std::string();
      Send(route.handle(source_, segment), res);
    };
    const std::string pattern = PatternOf(route.path);
    switch (route.method) {
      case AdminMethod::kGet:
        server.Get(pattern, handler);
        break;
      case AdminMethod::kPost:
        server.Post(pattern, handler);
        break;
      case AdminMethod::kDelete:
        server.Delete(pattern, handler);
        break;
    }
  }
  server.set_error_handler(
      [](const httplib::Request& req, httplib::Response& res) {
        if (res.status == kStatusNotFound && res.body.empty()) {
          Send(UnknownPathReply(req), res);
        }
      });
}

leaf::result<void> AdminServer::Bind() {
  httplib::Server& server = backend_->server;
  const char* ip = options_.listen.ip.c_str();
  const int requested_port = options_.listen.port;
  int port = 0;
  if (requested_port == 0) {
    port = server.bind_to_any_port(ip);
  } else if (server.bind_to_port(ip, requested_port)) {
    port = requested_port;
  }
  if (port <= 0) {
    return Fail(ErrorKind::kInvalidAddress, "admin.listen",
                ToString(options_.listen) + ", which cannot be bound",
                "choose an address of this host with a free port");
  }
  options_.listen.port = static_cast<std::uint16_t>(port);
  return {};
}

leaf::result<void> AdminServer::Start() {
  backend_ = std::make_unique<Backend>();
  Configure(backend_->server);
  RegisterRoutes();
  BOOST_LEAF_CHECK(Bind());
  backend_->thread =
      std::thread([this] { backend_->server.listen_after_bind(); });
  // cpp-httplib loses a stop request that arrives before its loop runs, and the
  // thread would then never end. Therefore wait until it runs.
  while (!backend_->server.is_running()) {
    std::this_thread::sleep_for(kStartPoll);
  }
  return {};
}

void AdminServer::Stop() {
  if (!backend_ || !backend_->thread.joinable()) {
    return;
  }
  backend_->server.stop();
  backend_->thread.join();
}

}  // namespace damasktack
