#include "wire/websocket_transport.h"

#include <utility>

#include "wire/link_hub.h"

namespace damasktack {

WebsocketTransport::WebsocketTransport(WebsocketTransportOptions options,
                                       PeerTransportEvents& events)
    : hub_(std::make_unique<detail::LinkHub>(std::move(options), events)) {}

WebsocketTransport::~WebsocketTransport() {
  Stop();
}

std::error_code WebsocketTransport::Start() {
  return hub_->Start();
}

void WebsocketTransport::Stop() {
  hub_->Stop();
}

void WebsocketTransport::SetPeers(std::vector<PeerAddress> peers) {
  hub_->SetPeers(std::move(peers));
}

bool WebsocketTransport::Send(const std::string& host, std::string frame) {
  return hub_->Send(host, std::move(frame));
}

std::uint16_t WebsocketTransport::port() const {
  return hub_->port();
}

TransportCounters WebsocketTransport::counters() const {
  return hub_->counters();
}

void WebsocketTransport::BlockLinksTo(std::vector<std::string> hosts) {
  hub_->BlockLinksTo(std::move(hosts));
}

}  // namespace damasktack
