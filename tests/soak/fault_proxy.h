#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "core/json_reader.h"
#include "core/time.h"

namespace damasktack {

enum class LinkFault : std::uint8_t {
  kNone,
  // Bytes arrive later, in both directions.
  kDelay,
  // Open connections are reset, and new ones as soon as they are made.
  kReset,
  // Bytes of one direction are held; after the fault half of the connections
  // go on, the others were lost and stay silent until the ends notice.
  kCutToServer,
  kCutToClient,
  kSilent,
};

// Stands on a loopback port before a server and does to the bytes what its
// fault says. All proxies share one thread.
class FaultProxies {
 public:
  class Link;

  FaultProxies();
  ~FaultProxies();

  // The port of 127.0.0.1 on which a new link to the server listens.
  std::uint16_t Add(const SocketAddress& server);
  // Of the link that listens on this port.
  void SetFault(std::uint16_t port, LinkFault fault, Duration delay);

 private:
  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<Link>> links_;
  std::thread thread_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_FAULT_PROXY_H_
