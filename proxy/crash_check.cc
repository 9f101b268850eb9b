#include "proxy/crash_check.h"

#include <memory>

namespace damasktack {

namespace {

// A single refusal may come from an overloaded endpoint.
constexpr int kRequiredRefusals = 2;
constexpr std::chrono::milliseconds kRetryInterval(200);
// Time for a connection to be accepted or refused.
constexpr std::chrono::milliseconds kConnectTimeout(250);

// Returns true if the connection was refused. A timeout is no evidence: the
// network path to the endpoint may be down.
asio::awaitable<bool> IsRefused(const Tcp::endpoint& peer) {
  const auto executor = co_await asio::this_coro::executor;
  const auto socket = std::make_shared<Tcp::socket>(executor);
  asio::steady_timer timer(executor, kConnectTimeout);
  timer.async_wait([socket](boost::system::error_code ec) {
    if (!ec) {
      socket->close(ec);
    }
  });
  boost::system::error_code ec;
  co_await socket->async_connect(peer,
                                 asio::redirect_error(asio::use_awaitable, ec));
  timer.cancel();
  co_return ec == asio::error::connection_refused ||
      ec == asio::error::connection_reset;
}

}  // namespace

asio::awaitable<void> CheckForCrash(RequestQuarantine& quarantine,
                                    EndpointProcess endpoint,
                                    SocketAddress address) {
  boost::system::error_code ec;
  const Tcp::endpoint peer(asio::ip::make_address(address.ip, ec),
                           address.port);
  asio::steady_timer pause(co_await asio::this_coro::executor);
  for (int n = 0; n < kRequiredRefusals; ++n) {
    if (n > 0) {
      pause.expires_after(kRetryInterval);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    const bool is_refused = co_await IsRefused(peer);
    if (!is_refused) {
      quarantine.OnEndpointAlive(endpoint);
      co_return;
    }
  }
  quarantine.OnEndpointEnded(endpoint);
}

}  // namespace damasktack
