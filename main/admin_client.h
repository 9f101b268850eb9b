#ifndef MAIN_ADMIN_CLIENT_H_
#define MAIN_ADMIN_CLIENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "core/json_reader.h"
#include "main/ctl_command.h"

namespace damasktack {

enum class AdminVerb : std::uint8_t { kGet, kPost, kDelete };

// Speaks to the administration API of one host.
class AdminClient {
 public:
  AdminClient(SocketAddress address, std::string token, Duration timeout);

  const SocketAddress& address() const { return address_; }

  // The answer's JSON. Errors: kUnreachable, kUnauthorized, or what the host
  // itself answered.
  leaf::result<Json> Call(AdminVerb verb, const std::string& path) const;

 private:
  SocketAddress address_;
  std::string token_;
  Duration timeout_;
};

// Clients for `addresses`, with the token and timeout that the command line
// or the environment names.
leaf::result<std::vector<AdminClient>> MakeClients(
    const CtlInvocation& invocation,
    const std::vector<std::string>& addresses);

// The same for the hosts that --host names; at least one.
leaf::result<std::vector<AdminClient>> MakeClientsForHosts(
    const CtlInvocation& invocation);

}  // namespace damasktack

#endif  // MAIN_ADMIN_CLIENT_H_
