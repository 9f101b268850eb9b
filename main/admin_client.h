#ifndef MAIN_ADMIN_CLIENT_H_
#define MAIN_ADMIN_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/json_reader.h"
#include "main/ctl_command.h"

namespace damasktack {

enum class AdminVerb : std::uint8_t { kGet, kPost, kDelete };

// Client of one host's administration API.
class AdminClient {
 public:
  AdminClient(SocketAddress address, std::string token, Duration timeout);

  const SocketAddress& address() const { return address_; }

  // Sends a request and returns the JSON of the response. Errors: kUnreachable,
  // kUnauthorized, kProtocol, or the error reported by the host, as kRefused.
  leaf::result<Json> Call(AdminVerb verb, const std::string& path) const;

 private:
  SocketAddress address_;
  std::string token_;
  Duration timeout_;
};

// Creates clients for `addresses` with the token and timeout given on the
// command line or in the environment.
leaf::result<std::vector<AdminClient>> MakeClients(
    const CtlInvocation& invocation,
    const std::vector<std::string>& addresses);

// Creates clients for the hosts given by the option --host; fails if there are
// none.
leaf::result<std::vector<AdminClient>> MakeClientsForHosts(
    const CtlInvocation& invocation);

}  // namespace damasktack

#endif  // MAIN_ADMIN_CLIENT_H_
