#ifndef TESTS_PROXY_PROXY_FIXTURE_H_
#define TESTS_PROXY_PROXY_FIXTURE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/claim_gate.h"
#include "fleet/limit_gate.h"
#include "proxy/caller_server.h"
#include "raw_peer.h"

namespace damasktack {

// Returns the request line and headers that most tests send: customer
// "keepers", service "dispatch". The contract declares GET idempotent and POST
// not.
std::string GetRequest(std::string_view path, std::string_view headers = "");
std::string PostRequest(std::string_view body, std::string_view headers = "");

// Returns the value of a header of an answer, or "" without one.
std::string HeaderOf(const std::string& answer, std::string_view name);
// Returns the status code of an answer, or 0 without one.
int StatusOf(const std::string& answer);
std::string BodyOf(const std::string& answer);

// Returns routes of "a.example" to service "s": "/read/" is idempotent,
// "/write/" is not. The endpoints "i-0", "i-1" and so on listen on `ports`.
// `traits` holds what both routes have in common.
RoutingTablePtr MakeReadWriteRoutes(const std::vector<std::uint16_t>& ports,
                                    const Route& traits);

// A CallerServer with endpoints, without the rest of the daemon.
class ProxyFixture {
 public:
  struct Setup {
    // Ports of the endpoints, one endpoint on each.
    std::vector<std::uint16_t> endpoint_ports;
    ProxyOptions options = FastOptions();
    bool echoes_call = false;
    std::int64_t connections = 250;
    std::int64_t hosts = 1;
    LimitGate* limits = nullptr;
    ClaimGate* claims = nullptr;
  };

  // Two threads on a free port, with timeouts so short that a test of one takes
  // less than a second.
  static ProxyOptions FastOptions();

  explicit ProxyFixture(Setup setup);
  ~ProxyFixture();

  RawConnection Connect() const { return RawConnection::To(server_->port()); }
  // Sends one request on a new connection.
  std::string Ask(std::string_view request) const;
  ProxyState& state() { return *state_; }
  CallerServer& server() { return *server_; }

 private:
  OpenLimitGate open_limits_;
  OpenClaimGate open_claims_;
  std::unique_ptr<ProxyState> state_;
  std::unique_ptr<CallerServer> server_;
};

}  // namespace damasktack

#endif  // TESTS_PROXY_PROXY_FIXTURE_H_
