#ifndef ADMIN_ADMIN_SERVER_H_
#define ADMIN_ADMIN_SERVER_H_

#include <memory>
#include <string>
#include <string_view>

#include "admin/admin_source.h"
#include "core/error.h"
#include "core/json_reader.h"

namespace damasktack {

struct AdminOptions {
  SocketAddress listen;
  // Allows `listen` to be an address other than a loopback address.
  bool allow_remote = false;
  // Bearer token that is required for everything but health, readiness and
  // metrics. Never logged or shown.
  std::string token;
  // File from which the token is read instead when the settings are loaded.
  std::string token_file;
  // Serves only health, readiness and metrics, which need no token.
  bool public_only = false;
  // Additional path of the readiness check; empty for none.
  std::string ready_path;
};

// Compares a token with the expected one in constant time, so that the duration
// does not reveal how much of it matches. An empty expected token matches
// nothing.
bool IsSameSecret(std::string_view given, std::string_view expected);

// HTTP server for the administration API of one host. Serves a few connections
// concurrently with one request each and responds in JSON.
class AdminServer {
 public:
  AdminServer(AdminOptions options, AdminSource& source);
  ~AdminServer();

  leaf::result<void> Start();
  void Stop();
  // Returns the port in use, which differs from the setting if that is 0.
  std::uint16_t port() const { return options_.listen.port; }

 private:
  struct Backend;

  void RegisterRoutes();
  leaf::result<void> Bind();

  AdminOptions options_;
  AdminSource& source_;
  std::unique_ptr<Backend> backend_;
};

}  // namespace damasktack

#endif  // ADMIN_ADMIN_SERVER_H_
