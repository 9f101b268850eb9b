#include "standin/free_ports.h"

#include <unistd.h>

#include <boost/asio.hpp>

namespace damasktack {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::uint16_t kFirstPort = 12'000;
constexpr std::uint16_t kLastPort = 32'000;
constexpr std::uint16_t kPortsPerProcess = 500;

bool CanBind(std::uint16_t port) {
  asio::io_context context;
  Tcp::acceptor acceptor(context);
  boost::system::error_code ec;
  acceptor.open(Tcp::v4(), ec);
  acceptor.bind(Tcp::endpoint(asio::ip::address_v4::loopback(), port), ec);
  return !ec;
}

}  // namespace

FreePorts::FreePorts() {
  constexpr int kStartPorts = (kLastPort - kFirstPort) / kPortsPerProcess;
  const int start = static_cast<int>(getpid()) % kStartPorts;
  next_ = static_cast<std::uint16_t>(kFirstPort + (start * kPortsPerProcess));
}

std::uint16_t FreePorts::Take() {
  for (int n = kFirstPort; n <= kLastPort; ++n) {
    const std::uint16_t port = next_;
    next_ = next_ == kLastPort ? kFirstPort : next_ + 1;
    if (CanBind(port)) {
      return port;
    }
  }
  return 0;
}

}  // namespace damasktack
