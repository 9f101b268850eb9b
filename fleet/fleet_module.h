#ifndef FLEET_FLEET_MODULE_H_
#define FLEET_FLEET_MODULE_H_

#include <concepts>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/time.h"
#include "fleet/host_view.h"
#include "fleet/peer_message.h"

namespace damasktack {

// The sender of a message: a host and its process.
struct Sender {
  HostId host;
  Incarnation incarnation = 0;
};

// Collects the messages to be sent after an event. Any of them may be lost.
class Outbox {
 public:
  struct Item {
    HostId to;
    PeerMessage message;
  };
  // One message for several hosts, encoded once. A separate copy per follower
  // made up most of the memory of a seed.
  struct Multicast {
    std::vector<HostId> to;
    PeerMessage message;
  };

  void Send(HostId to, PeerMessage message) {
    SendToAll({std::move(to)}, std::move(message));
  }
  void SendToAll(std::vector<HostId> to, PeerMessage message) {
    parcels_.push_back({std::move(to), std::move(message)});
  }
  std::vector<Multicast> TakeMulticasts() {
    return std::exchange(parcels_, {});
  }
  // Returns one item per receiver, each with its own copy of the message.
  std::vector<Item> Take() {
    std::vector<Item> items;
    for (const Multicast& parcel : TakeMulticasts()) {
      for (const HostId& it : parcel.to) {
        items.push_back({it, parcel.message});
      }
    }
    return items;
  }

 private:
  std::vector<Multicast> parcels_;
};

// A component of the fleet protocol: a pure state machine driven by the fleet
// loop, without clock, sockets or threads. A module ignores messages of other
// modules.
template <typename Module>
concept FleetModule = requires(Module module,
                               const HostView& view,
                               const Sender& sender,
                               const PeerMessage& message,
                               TimePoint now,
                               Outbox& out) {
  module.OnView(view, now, out);
  module.OnMessage(sender, message, now, out);
  module.Tick(now, out);
};

}  // namespace damasktack

#endif  // FLEET_FLEET_MODULE_H_
