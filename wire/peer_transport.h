#ifndef WIRE_PEER_TRANSPORT_H_
#define WIRE_PEER_TRANSPORT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace damasktack {

// Address on which a daemon of the fleet listens for its peers.
struct PeerAddress {
  // Empty for a seed address, where any authenticated host of the fleet is
  // accepted.
  std::string host;
  std::string ip;
  std::uint16_t port = 0;

  bool operator==(const PeerAddress& other) const {
    return host == other.host && ip == other.ip && port == other.port;
  }
};

// Event handlers of a transport's owner; called on the transport's thread.
class PeerTransportEvents {
 public:
  virtual ~PeerTransportEvents() = default;

  // `incarnation` identifies the peer's process and was authenticated when the
  // link opened.
  virtual void OnLinkUp(const std::string& host, std::uint64_t incarnation) = 0;
  virtual void OnLinkDown(const std::string& host,
                          std::uint64_t incarnation) = 0;
  virtual void OnFrame(const std::string& host,
                       std::uint64_t incarnation,
                       std::string frame) = 0;
};

// Carries opaque frames between the daemons of one fleet. Frames to one peer
// arrive in order while a link lasts; any of them may be lost. This header must
// not depend on websocketpp or on C++20.
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  // Replaces the list of peers to dial and closes links that this side dialed
  // to others. Links that other hosts dialed stay open, because their lists may
  // be newer than this one.
  virtual void SetPeers(std::vector<PeerAddress> peers) = 0;
  // Returns false and drops the frame if there is no link or its queue is full.
  virtual bool Send(const std::string& host, std::string frame) = 0;
};

}  // namespace damasktack

#endif  // WIRE_PEER_TRANSPORT_H_
