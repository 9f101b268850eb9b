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

// Who sent a message: the host and which process of it.
struct Sender {
  HostId host;
  Incarnation incarnation = 0;
};

// Messages to be sent after an event. Any of them may be lost.
class Outbox {
 public:
  struct Item {
    HostId to;
    PeerMessage message;
  };
  // One message for several hosts, to be encoded once. A copy for each of the
  // hosts that follow a seed took most of its memory.
  struct Parcel {
    std::vector<HostId> to;
    PeerMessage message;
  };

  void Send(HostId to, PeerMessage message) {
    SendToAll({std::move(to)}, std::move(message));
  }
  void SendToAll(std::vector<HostId> to, PeerMessage message) {
    parcels_.push_back({std::move(to), std::move(message)});
  }
  std::vector<Parcel> TakeParcels() { return std::exchange(parcels_, {}); }
  // Each host with a copy of its own.
  std::vector<Item> Take() {
    std::vector<Item> items;
    for (const Parcel& parcel : TakeParcels()) {
      for (const HostId& it : parcel.to) {
        items.push_back({it, parcel.message});
      }
    }
    return items;
  }

 private:
  std::vector<Parcel> parcels_;
};

// A part of the fleet's behaviour: a pure state machine that the fleet loop
// feeds. No clock, sockets or threads inside. A module ignores messages that
// are not its own.
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
