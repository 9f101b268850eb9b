#ifndef WIRE_WEBSOCKET_TRANSPORT_H_
#define WIRE_WEBSOCKET_TRANSPORT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "wire/peer_transport.h"
#include "wire/transport_counters.h"

namespace damasktack {

namespace detail {
class LinkHub;
}  // namespace detail

// Options of a WebsocketTransport.
struct WebsocketTransportOptions {
  // This daemon's host id.
  std::string host;
  std::uint64_t incarnation = 0;
  // Shared by all daemons of the fleet.
  std::string fleet_key;
  std::string listen_ip = "127.0.0.1";
  // 0 selects a free port.
  std::uint16_t listen_port = 0;
  // Maximum payload size of a frame; a larger one closes its link.
  std::size_t max_frame_bytes = 1'100'000;
  // Maximum bytes queued for one link; further frames are dropped.
  std::size_t link_queue_bytes = 8'000'000;
  // Maximum accepted connections whose peers are not authenticated yet.
  std::size_t max_unauthenticated_connections = 64;
  std::chrono::milliseconds proof_timeout{2000};
  // A link on which nothing was received for this long is closed.
  std::chrono::milliseconds silence_timeout{15'000};
  std::chrono::milliseconds min_backoff{100};
  std::chrono::milliseconds max_backoff{5000};
  // Of two hosts that list each other, the one with the lower id dials at once.
  // The other one dials after this delay, in case the first does not list it
  // yet.
  std::chrono::milliseconds dial_grace{1000};
  // For partition tests with real processes only: a file with the ids of the
  // hosts to which links are blocked, one per line. Read again periodically.
  // Empty for none.
  std::string blocked_hosts_file;
};

// PeerTransport over websockets. Its own thread runs all links and calls the
// event handlers; the public functions are thread-safe.
//
// A link opens with a greeting and a proof in each direction (link_auth.h).
// Malformed input closes the connection it came on and affects nothing else.
class WebsocketTransport : public PeerTransport {
 public:
  WebsocketTransport(WebsocketTransportOptions options,
                     PeerTransportEvents& events);
  ~WebsocketTransport() override;

  // Starts to listen and starts the thread. Fails if the address cannot be
  // bound.
  std::error_code Start();
  // Closes all links; no event handler is called after this returns.
  void Stop();

  void SetPeers(std::vector<PeerAddress> peers) override;
  bool Send(const std::string& host, std::string frame) override;

  // Returns the listening port.
  std::uint16_t port() const;
  TransportCounters counters() const;

  // For partition tests only: closes links to these hosts and opens none until
  // the next call.
  void BlockLinksTo(std::vector<std::string> hosts);

 private:
  std::unique_ptr<detail::LinkHub> hub_;
};

}  // namespace damasktack

#endif  // WIRE_WEBSOCKET_TRANSPORT_H_
