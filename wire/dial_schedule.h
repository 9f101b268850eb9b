#ifndef WIRE_DIAL_SCHEDULE_H_
#define WIRE_DIAL_SCHEDULE_H_

#include <chrono>
#include <random>
#include <vector>

#include "wire/peer_link.h"
#include "wire/websocket_transport.h"

namespace damasktack::detail {

// Decides when to dial each listed peer, with exponential backoff per address.
// Used on the transport's thread only.
class DialSchedule {
 public:
  // `options` must outlive this object.
  explicit DialSchedule(const WebsocketTransportOptions& options);

  // Replaces the list of peers. Addresses that stay listed keep their backoff.
  void SetPeers(const std::vector<PeerAddress>& peers, SteadyTime now);
  // Returns true if the link's peer is listed.
  bool IsListed(const PeerLink& link) const;
  // Returns the addresses that are due and not being dialed.
  std::vector<PeerAddress> Due(SteadyTime now) const;
  void OnDialStarted(const PeerAddress& address);
  // Called when a dial has failed, or when the link that it opened is up or has
  // closed.
  void OnDialEnded(const PeerAddress& address, bool opened);

 private:
  struct Entry {
    PeerAddress address;
    bool dialing = false;
    SteadyTime due;
    std::chrono::milliseconds backoff{0};
  };

  Entry EntryFor(const PeerAddress& address, SteadyTime now) const;
  std::chrono::milliseconds Jittered(std::chrono::milliseconds time);

  const WebsocketTransportOptions& options_;
  std::mt19937_64 random_;
  std::vector<Entry> entries_;
};

}  // namespace damasktack::detail

#endif  // WIRE_DIAL_SCHEDULE_H_
