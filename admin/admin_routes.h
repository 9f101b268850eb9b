#ifndef ADMIN_ADMIN_ROUTES_H_
#define ADMIN_ADMIN_ROUTES_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "admin/admin_source.h"

namespace damasktack {

enum class AdminMethod : std::uint8_t { kGet, kPost, kDelete };

enum class AdminAccess : std::uint8_t {
  // Without a token, for the platform's balancer and the metrics collector,
  // which hold none. Shows no customer's contract.
  kOpen,
  // Requires the bearer token.
  kToken,
};

struct AdminReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

// One operation of the administration API.
struct AdminRoute {
  AdminMethod method = AdminMethod::kGet;
  // A segment "{id}" matches any name and is passed to the handler.
  std::string_view path;
  AdminAccess access = AdminAccess::kToken;
  AdminReply (*handle)(AdminSource& source, const std::string& segment);
};

// Returns all routes of the API.
std::span<const AdminRoute> AdminRoutes();

// Returns status 200 if the host accepts calls, else 503.
AdminReply ReadinessReply(const AdminSource& source);

// Returns the response that reports an error.
AdminReply ErrorReply(int status, const Error& error);

}  // namespace damasktack

#endif  // ADMIN_ADMIN_ROUTES_H_
