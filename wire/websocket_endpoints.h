#ifndef WIRE_WEBSOCKET_ENDPOINTS_H_
#define WIRE_WEBSOCKET_ENDPOINTS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "wire/peer_link.h"
#include "wire/websocket_transport.h"

namespace damasktack::detail {

// Event handlers for websockets; called on the thread that runs the context.
class WebsocketEvents {
 public:
  virtual ~WebsocketEvents() = default;

  // A TCP connection was accepted; nothing has been read from it yet.
  virtual void OnAccepted(const Handle& handle) = 0;
  // An accepted connection ended before its websocket handshake was complete;
  // `late` if the handshake timed out.
  virtual void OnAcceptFailed(const Handle& handle, bool late) = 0;
  virtual void OnDialFailed(const Handle& handle) = 0;
  virtual void OnOpen(const Handle& handle, bool dialed) = 0;
  virtual void OnMessage(const Handle& handle,
                         bool binary,
                         std::string_view bytes) = 0;
  virtual void OnClosed(const Handle& handle) = 0;
};

// Wraps the websocket library's server and client behind one interface. Must be
// used on the context's thread; operations on a connection that no longer
// exists have no effect.
class WebsocketEndpoints {
 public:
  // All three arguments must outlive this object.
  WebsocketEndpoints(boost::asio::io_context& context,
                     const WebsocketTransportOptions& options,
                     WebsocketEvents& events);

  // Starts to listen and to accept connections.
  std::error_code Listen();
  void StopListening();
  // Returns the listening port; valid after Listen.
  std::uint16_t port() const { return port_; }

  // Creates a connection, or returns null if the address cannot be dialed.
  // Nothing is sent before Connect.
  std::optional<Handle> PrepareDial(const PeerAddress& address);
  void Connect(const Handle& handle);

  // Closes an accepted connection before its websocket handshake.
  void Refuse(const Handle& accepted);
  // Closes a dialed connection that is no longer registered.
  void CloseDialed(const Handle& handle);

  // Disables Nagle's algorithm, so that small frames are sent at once.
  void SetNoDelay(const PeerLink& link);
  void SetLargestMessage(const PeerLink& link, std::size_t bytes);
  void Send(const PeerLink& link, const std::string& bytes);
  void Close(const PeerLink& link);
  // Returns the number of bytes queued and not yet written to the socket.
  std::size_t BufferedBytes(const PeerLink& link);
  // Returns true if the library closed the connection because the peer violated
  // the protocol.
  bool ClosedForProtocolError(const PeerLink& link);

 private:
  using Server = websocketpp::server<websocketpp::config::asio>;
  using Client = websocketpp::client<websocketpp::config::asio_client>;

  template <typename Endpoint>
  void SetUp(Endpoint& endpoint, bool dialed);
  template <typename Endpoint>
  void SetHandlers(Endpoint& endpoint, bool dialed);
  void AcceptFailed(const Handle& handle);
  // Calls `body` with the library's server or client connection, if it still
  // exists.
  template <typename Body>
  void WithConnection(const PeerLink& link, Body body);

  boost::asio::io_context& context_;
  const WebsocketTransportOptions& options_;
  WebsocketEvents& events_;
  Server server_;
  Client client_;
  Client::connection_ptr prepared_;
  std::uint16_t port_ = 0;
};

}  // namespace damasktack::detail

#endif  // WIRE_WEBSOCKET_ENDPOINTS_H_
