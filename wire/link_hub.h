#ifndef WIRE_LINK_HUB_H_
#define WIRE_LINK_HUB_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <vector>

#include "wire/atomic_transport_counters.h"
#include "wire/blocked_hosts.h"
#include "wire/dial_schedule.h"
#include "wire/link_table.h"
#include "wire/peer_link.h"
#include "wire/unauthenticated_connections.h"
#include "wire/websocket_endpoints.h"
#include "wire/websocket_transport.h"

namespace damasktack::detail {

// Interval for dialing, checking timeouts and updating queue lengths.
inline constexpr std::chrono::milliseconds kHousekeepingInterval{50};

// Manages all connections to peers: handshakes, links, frames and closing. All
// work and all calls to the owner's event handlers happen on its own thread;
// the public functions are thread-safe.
class LinkHub : private WebsocketEvents {
 public:
  // `events` must outlive this object.
  LinkHub(WebsocketTransportOptions options, PeerTransportEvents& events);

  std::error_code Start();
  void Stop();
  void SetPeers(std::vector<PeerAddress> peers);
  bool Send(const std::string& host, std::string frame);
  void BlockLinksTo(std::vector<std::string> hosts);
  std::uint16_t port() const { return endpoints_.port(); }
  TransportCounters counters() const { return counters_.Read(); }

 private:
  void OnAccepted(const Handle& handle) override;
  void OnAcceptFailed(const Handle& handle, bool late) override;
  void OnDialFailed(const Handle& handle) override;
  void OnOpen(const Handle& handle, bool dialed) override;
  void OnMessage(const Handle& handle,
                 bool binary,
                 std::string_view bytes) override;
  void OnClosed(const Handle& handle) override;

  void HandleGreeting(const PeerLinkPtr& link, std::string_view bytes);
  bool AcceptsGreeting(const PeerLink& link,
                       const LinkGreeting& greeting) const;
  void HandleProof(const PeerLinkPtr& link, std::string_view bytes);
  void HandleFrame(const PeerLinkPtr& link, std::string_view bytes);
  bool PrefersCandidate(const PeerLink& old, const PeerLink& candidate) const;
  void OpenLink(const PeerLinkPtr& link);
  void SendSealed(const PeerLinkPtr& link, const std::string& payload);
  void Close(const PeerLinkPtr& link);
  // Removes the connection and, if it was an open link, notifies the owner.
  void RemoveLink(const PeerLinkPtr& link);

  void ShutDown();
  void Tick();
  void CloseBlocked();
  void CloseUnlisted();
  void CloseOverdue(SteadyTime now);
  void DialDue(SteadyTime now);
  void Dial(const PeerAddress& address, SteadyTime now);
  void RefreshBacklogs();
  std::vector<PeerLinkPtr> Connections() const;

  const WebsocketTransportOptions options_;
  PeerTransportEvents& events_;
  boost::asio::io_context context_;
  boost::asio::steady_timer timer_;
  WebsocketEndpoints endpoints_;
  std::thread thread_;
  AtomicTransportCounters counters_;
  LinkTable links_;

  // Used on the transport's thread only.
  HandleMap<PeerLinkPtr> connections_;
  UnauthenticatedConnections unauthenticated_;
  DialSchedule dials_;
  BlockedHosts blocked_hosts_;
  bool stopping_ = false;
};

}  // namespace damasktack::detail

#endif  // WIRE_LINK_HUB_H_
