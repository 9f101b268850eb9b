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
  // Of this host, by its settings.
  ZoneId zone;
  Duration heartbeat = std::chrono::seconds(1);
  // A linked peer that was not heard for this long counts as unreachable.
  Duration silence = std::chrono::seconds(3);
};

// Who is in the fleet: merges the platform's list, which lags, with links,
// heartbeats and goodbyes into a HostView. Pure; the fleet loop feeds it.
class Membership {
 public:
  explicit Membership(MembershipOptions options);

  void SetList(const HostList& list, TimePoint now);
  void LinkUp(const HostId& host, Incarnation incarnation, TimePoint now);
  void LinkDown(const HostId& host, Incarnation incarnation, TimePoint now);
  // Any message counts as a sign of life. Those of another process than the
  // linked one are not heard; the result says so.
  bool OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now);
  // Sends heartbeats that are due and notices silent peers.
  void Tick(TimePoint now, Outbox& out);
  // This host begins its graceful stop; the next heartbeats say so.
  void SetLeaving(TimePoint now, Outbox& out);
  // The last message of this process.
  void SendGoodbye(Outbox& out);
  // The process was stopped for a while: silence while nobody could listen
  // proves nothing about the peers.
  void OnLateWake(TimePoint now);

  const HostView& view() const { return view_; }
  // Whether the view differs from the one at the last call.
  bool TakeChanged();
  // Listed peers and where to reach them.
  std::vector<PeerAddress> Addresses() const;
  // Hosts with an open link, whether heard or not.
  std::vector<HostId> Linked() const;

 private:
  struct Peer {
    std::optional<HostSpec> spec;
    Incarnation incarnation = 0;
    bool linked = false;
    TimePoint last_heard;
    bool leaving = false;
    bool gone = false;
    // As the view says.
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
