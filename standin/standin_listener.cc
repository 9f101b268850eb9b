#include "standin/standin_listener.h"

#include <utility>

namespace damasktack {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

}  // namespace

StandinListener::StandinListener(StandinLoop& loop, Serve serve)
    : loop_(loop), serve_(std::move(serve)), acceptor_(loop.context()) {}

bool StandinListener::Bind(std::uint16_t port) {
  const Tcp::endpoint local(asio::ip::address_v4::loopback(), port);
  boost::system::error_code ec;
  acceptor_.open(local.protocol(), ec);
  acceptor_.set_option(Tcp::acceptor::reuse_address(true), ec);
  acceptor_.bind(local, ec);
  if (!ec) {
    acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    return false;
  }
  port_ = acceptor_.local_endpoint().port();
  asio::co_spawn(loop_.context(), Accept(), asio::detached);
  return true;
}

std::uint16_t StandinListener::Open(std::uint16_t port) {
  return Bind(port) ? port_ : 0;
}

void StandinListener::Close() {
  boost::system::error_code ec;
  acceptor_.close(ec);
}

void StandinListener::Reopen() {
  if (!acceptor_.is_open()) {
    Bind(port_);
  }
}

asio::awaitable<void> StandinListener::Accept() {
  while (true) {
    boost::system::error_code ec;
    Tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted || !acceptor_.is_open()) {
      co_return;
    }
    if (ec) {
      continue;
    }
    socket.set_option(Tcp::no_delay(true), ec);
    asio::co_spawn(loop_.context(), serve_(std::move(socket)), asio::detached);
  }
}

}  // namespace damasktack
