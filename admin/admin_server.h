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
  // Lets `listen` be another address than a loopback one.
  bool allow_remote = false;
  // Bearer token for everything but health, readiness and metrics. Never
  // logged or shown.
  std::string token;
  // Where the token is read from instead, when the settings are loaded.
  std::string token_file;
  // Serves health, readiness and metrics and nothing that needs the token.
  bool public_only = false;
  // Where readiness is served besides its usual path; empty for nowhere.
  std::string ready_path;
};

// Whether the token is the right one, in a time that tells nothing about how
// much of it is right.
bool IsSameSecret(std::string_view given, std::string_view expected);

// The administration API of one host, over HTTP. Serves a few connections at
// a time, one call each; answers in JSON.
class AdminServer {
 public:
  AdminServer(AdminOptions options, AdminSource& source);
  ~AdminServer();

  leaf::result<void> Start();
  void Stop();
  // The port in use; differs from the setting where that was 0.
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
