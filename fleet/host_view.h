#ifndef FLEET_HOST_VIEW_H_
#define FLEET_HOST_VIEW_H_

#include <vector>

#include "contract/document.h"
#include "core/ids.h"

namespace damasktack {

// State of another host as seen by this host.
struct PeerView {
  HostId id;
  // 0 until the peer has sent a message.
  Incarnation incarnation = 0;
  ZoneId zone;
  // kLeaving as soon as the list or the peer itself states it.
  ListedState listed = ListedState::kLive;
  // A link is up and heartbeats arrive on it.
  bool reachable = false;

  bool operator==(const PeerView&) const = default;
};

// The fleet as seen by this host. Views of different hosts may differ at any
// moment, so no decision may require them to be equal.
struct HostView {
  // Revision of the underlying "hosts" document; 0 before the first one.
  Revision revision = 0;
  HostId self;
  Incarnation self_incarnation = 0;
  // All listed hosts except this one.
  std::vector<PeerView> peers;
  // Whether the list contains this host.
  bool listed = false;
  ZoneId self_zone;
  // This host has started its graceful stop.
  bool self_leaving = false;
  // Linked hosts that are not, or not yet, in the list. They hold the fleet
  // key, so documents are exchanged with them, but nothing else.
  std::vector<HostId> unlisted;

  bool operator==(const HostView&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_HOST_VIEW_H_
