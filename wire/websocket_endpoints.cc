#include "wire/websocket_endpoints.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "wire/link_auth.h"

namespace damasktack::detail {

namespace asio = boost::asio;
namespace status = websocketpp::close::status;
using Opcode = websocketpp::frame::opcode::value;

namespace {

constexpr int kListenBacklog = 128;

std::string UriOf(const PeerAddress& address) {
  const bool six = address.ip.find(':') != std::string::npos;
  const std::string ip = six ? "[" + address.ip + "]" : address.ip;
  return "ws://" + ip + ":" + std::to_string(address.port) + "/";
}

}  // namespace

WebsocketEndpoints::WebsocketEndpoints(asio::io_context& context,
                                       const WebsocketTransportOptions& options,
                                       WebsocketEvents& events)
    : context_(context), options_(options), events_(events) {}

template <typename Endpoint>
void WebsocketEndpoints::SetUp(Endpoint& endpoint, bool dialed) {
  endpoint.clear_access_channels(websocketpp::log::alevel::all);
  endpoint.clear_error_channels(websocketpp::log::elevel::all);
  endpoint.init_asio(&context_);
  endpoint.set_open_handshake_timeout(options_.proof_timeout.count());
  endpoint.set_close_handshake_timeout(options_.proof_timeout.count());
  // Raised for each connection once its peer is authenticated.
  endpoint.set_max_message_size(kMaxGreetingBytes);
  endpoint.set_max_http_body_size(0);
  SetHandlers(endpoint, dialed);
}

template <typename Endpoint>
void WebsocketEndpoints::SetHandlers(Endpoint& endpoint, bool dialed) {
  endpoint.set_open_handler(
      [this, dialed](const Handle& it) { events_.OnOpen(it, dialed); });
  endpoint.set_close_handler(
      [this](const Handle& it) { events_.OnClosed(it); });
  endpoint.set_message_handler(
      [this](const Handle& it, const typename Endpoint::message_ptr& message) {
        events_.OnMessage(it, message->get_opcode() == Opcode::binary,
                          message->get_payload());
      });
}

std::error_code WebsocketEndpoints::Listen() {
  SetUp(server_, false);
  SetUp(client_, true);
  server_.set_tcp_pre_init_handler(
      [this](const Handle& it) { events_.OnAccepted(it); });
  server_.set_fail_handler([this](const Handle& it) { AcceptFailed(it); });
  server_.set_reuse_addr(true);
  server_.set_listen_backlog(kListenBacklog);
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(options_.listen_ip, ec);
  if (ec) {
    return ec;
  }
  websocketpp::lib::error_code problem;
  server_.listen(asio::ip::tcp::endpoint(ip, options_.listen_port), problem);
  if (problem) {
    return problem;
  }
  port_ = server_.get_local_endpoint(ec).port();
  server_.start_accept(problem);
  return problem;
}

void WebsocketEndpoints::StopListening() {
  websocketpp::lib::error_code ec;
  server_.stop_listening(ec);
}

void WebsocketEndpoints::AcceptFailed(const Handle& handle) {
  websocketpp::lib::error_code ec;
  const auto raw = server_.get_con_from_hdl(handle, ec);
  const bool late =
      !ec && raw->get_ec() == websocketpp::error::open_handshake_timeout;
  events_.OnAcceptFailed(handle, late);
}

std::optional<Handle> WebsocketEndpoints::PrepareDial(
    const PeerAddress& address) {
  websocketpp::lib::error_code ec;
  const auto raw = client_.get_connection(UriOf(address), ec);
  if (ec) {
    return std::nullopt;
  }
  raw->set_fail_handler([this](const Handle& it) { events_.OnDialFailed(it); });
  // The library does not own the connection before Connect.
  prepared_ = raw;
  return raw->get_handle();
}

void WebsocketEndpoints::Connect(const Handle& handle) {
  websocketpp::lib::error_code ec;
  const auto raw = client_.get_con_from_hdl(handle, ec);
  prepared_.reset();
  if (!ec) {
    client_.connect(raw);
  }
}

void WebsocketEndpoints::Refuse(const Handle& accepted) {
  websocketpp::lib::error_code ec;
  const auto raw = server_.get_con_from_hdl(accepted, ec);
  if (!ec) {
    boost::system::error_code ignored;
    raw->get_raw_socket().close(ignored);
  }
}

void WebsocketEndpoints::CloseDialed(const Handle& handle) {
  websocketpp::lib::error_code ec;
  client_.close(handle, status::normal, "", ec);
}

template <typename Body>
void WebsocketEndpoints::WithConnection(const PeerLink& link, Body body) {
  websocketpp::lib::error_code ec;
  if (link.dialed) {
    const auto raw = client_.get_con_from_hdl(link.handle, ec);
    if (!ec) {
      body(*raw);
    }
    return;
  }
  const auto raw = server_.get_con_from_hdl(link.handle, ec);
  if (!ec) {
    body(*raw);
  }
}

void WebsocketEndpoints::SetNoDelay(const PeerLink& link) {
  WithConnection(link, [](auto& raw) {
    boost::system::error_code ignored;
    raw.get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  });
}

void WebsocketEndpoints::SetLargestMessage(const PeerLink& link,
                                           std::size_t bytes) {
  WithConnection(link, [&](auto& raw) { raw.set_max_message_size(bytes); });
}

void WebsocketEndpoints::Send(const PeerLink& link, const std::string& bytes) {
  WithConnection(link, [&](auto& raw) { raw.send(bytes, Opcode::binary); });
}

void WebsocketEndpoints::Close(const PeerLink& link) {
  WithConnection(link, [](auto& raw) {
    if (raw.get_state() == websocketpp::session::state::connecting) {
      // The websocket handshake is not complete, so no close frame can be sent.
      raw.terminate(websocketpp::error::make_error_code(
          websocketpp::error::open_handshake_timeout));
      return;
    }
    websocketpp::lib::error_code ec;
    raw.close(status::normal, "", ec);
  });
}

std::size_t WebsocketEndpoints::BufferedBytes(const PeerLink& link) {
  std::size_t n = 0;
  WithConnection(link, [&](auto& raw) { n = raw.get_buffered_amount(); });
  return n;
}

bool WebsocketEndpoints::ClosedForProtocolError(const PeerLink& link) {
  status::value code = status::normal;
  WithConnection(link, [&](auto& raw) { code = raw.get_local_close_code(); });
  return code == status::protocol_error || code == status::message_too_big ||
         code == status::invalid_payload || code == status::unsupported_data;
}

}  // namespace damasktack::detail
