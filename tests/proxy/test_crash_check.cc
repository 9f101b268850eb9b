#include "proxy/crash_check.h"

#include <doctest/doctest.h>

#include <string>

#include "proxy_fixture.h"

namespace damasktack {
namespace {

constexpr RequestFingerprint kRequest{1};
const EndpointProcess kEndpoint{EndpointId("e1"), {}};

// What the quarantine believes after a check of the address.
std::size_t CountConfirmed(std::uint16_t port) {
  RequestQuarantine quarantine;
  REQUIRE(quarantine.OnBroken({kRequest, kEndpoint, Clock::now()}));
  asio::io_context context;
  asio::co_spawn(context,
                 CheckForCrash(quarantine, kEndpoint, {"127.0.0.1", port}),
                 asio::detached);
  context.run();
  return quarantine.ObservationsOf(kRequest).size();
}

TEST_CASE("an endpoint at whose address nobody listens has ended") {
  CHECK(CountConfirmed(ClosedPort()) == 1);
}

TEST_CASE("an endpoint that takes connections has not ended") {
  const RawEndpoint endpoint([](RawConnection& it) { it.WaitForHangUp(); });
  CHECK(CountConfirmed(endpoint.port()) == 0);
}

// Full endpoints reset connections, and answers are lost on the way. A caller
// that tries again for as long as that lasts is not to be locked out.
TEST_CASE("calls that break at endpoints that live go on being sent") {
  constexpr int kAttempts = 8;
  const RawEndpoint endpoint([](RawConnection& it) {
    it.ReadMessage();
    it.Reset();
  });
  const ProxyFixture proxy({.endpoint_ports = {endpoint.port()}});
  const std::string request =
      GetRequest("/again", "Damasktack-Deadline-Ms: 2000\r\n");
  for (int n = 0; n < kAttempts; ++n) {
    CHECK(BodyOf(proxy.Ask(request)).find("quarantined") == std::string::npos);
  }
}

}  // namespace
}  // namespace damasktack
