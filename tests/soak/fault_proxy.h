#ifndef TESTS_SOAK_FAULT_PROXY_H_
#define TESTS_SOAK_FAULT_PROXY_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

#include "core/json_reader.h"
#include "core/time.h"

namespace damasktack {

enum class LinkFault : std::uint8_t {
  kNone,
  // Delays the bytes of both directions.
  kDelay,
  // Resets open connections, and new ones as soon as they are accepted.
  kReset,
  // Block the bytes of one direction, or of both. When the fault ends, half of
  // the connections resume; the others count as lost and carry nothing until
  // both ends detect it.
  kCutToServer,
  kCutToClient,
  kCutBoth,
};

// How a partition treats the connections of the clients that are cut off.
enum class Partition : std::uint8_t {
  // All of them hang.
  kHang,
  // Open ones are reset, and new ones are refused.
  kReset,
  // Open ones live on, and new ones are refused.
  kRefuseNew,
};

// TCP proxies on loopback ports, each in front of one server, that apply the
// fault set for them to the forwarded bytes. All proxies share one thread.
class FaultProxies {
 public:
  class Link;

  FaultProxies();
  ~FaultProxies();

  // Adds a proxy for the server and returns its listening port on 127.0.0.1.
  std::uint16_t Add(const SocketAddress& server);
  // Sets the fault of the proxy that listens on this port.
  void SetFault(std::uint16_t port, LinkFault fault, Duration delay);
  // Partitions some clients of the proxy from its server. Replaces the last
  // partition; one without `is_cut` ends it. `is_cut` tells by a connection's
  // client and proxy port whether the client is cut off; it runs on the thread
  // of the proxies.
  using IsCut = std::function<bool(std::uint16_t client, std::uint16_t proxy)>;
  void SetPartition(std::uint16_t port, Partition partition, IsCut is_cut);

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
