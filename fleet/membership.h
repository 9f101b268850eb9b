#ifndef FLEET_MEMBERSHIP_H_
#define FLEET_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <vector>

#include "contract/document.h"
#include "fleet/fleet_module.h"
#include "wire/peer_transport.h"

namespace damasktack {

struct MembershipOptions {
  HostId self;
  Incarnation incarnation = 0;
  // Zone of this host from its settings.
  ZoneId zone;
  Duration heartbeat = std::chrono::seconds(1);
  // A linked peer that sent no message for this long is unreachable.
  Duration silence = std::chrono::seconds(3);
};

// Merges the host list of the platform, which lags behind, with links,
// heartbeats and goodbyes into a HostView. It is a pure state machine driven by
// the fleet loop.
class Membership {
 public:
  explicit Membership(MembershipOptions options);

  void SetList(const HostList& list, TimePoint now);
  void LinkUp(const HostId& host, Incarnation incarnation, TimePoint now);
  void LinkDown(const HostId& host, Incarnation incarnation, TimePoint now);
  // Records the message as a sign of life of its sender. Returns false for a
  // message from a process other than the linked one, which is ignored.
  bool OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now);
  // Sends due heartbeats and marks silent peers as unreachable.
  void Tick(TimePoint now, Outbox& out);
  // Starts the graceful stop of this host and announces it in a heartbeat at
  // once.
  void SetLeaving(TimePoint now, Outbox& out);
  // Sends the last message of this process to all linked peers.
  void SendGoodbye(Outbox& out);
  // Resets the silence of all peers after this process was suspended: it could
  // not receive messages meanwhile.
  void OnLateWake(TimePoint now);

  const HostView& view() const { return view_; }
  // Whether the view has changed since the last call.
  bool TakeChanged();
  // Returns the listed peers and their addresses.
  std::vector<PeerAddress> Addresses() const;
  // Returns the hosts with an open link, whether or not they have sent
  // messages.
  std::vector<HostId> Linked() const;

 private:
  struct Peer {
    std::optional<HostSpec> spec;
    Incarnation incarnation = 0;
    bool linked = false;
    TimePoint last_heard;
    bool leaving = false;
    bool gone = false;
    // Reachability as stated in the current view.
    bool reachable = false;
  };

  bool IsReachable(const Peer& peer, TimePoint now) const;
  void Rebuild(TimePoint now);
  void SendHeartbeats(Outbox& out);

  const MembershipOptions options_;
  std::map<HostId, Peer> peers_;
  HostView view_;
  bool changed_ = true;
  TimePoint next_heartbeat_;
};

}  // namespace damasktack

#endif  // FLEET_MEMBERSHIP_H_
