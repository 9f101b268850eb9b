#ifndef FLEET_CRASH_EXCHANGE_H_
#define FLEET_CRASH_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "fleet/fleet_module.h"
#include "fleet/request_quarantine.h"

namespace damasktack {

// The role of a peer, which determines the crash reports that it gets.
enum class CrashPeerRole : std::uint8_t {
  // A peer in a full mesh. Gets the findings of this host itself.
  kPeer,
  // A seed. Gets all reports and relays them.
  kSeed,
  // A host that is connected to a seed. Gets reports on a request only once it
  // was involved in several crashes. A crash has a few suspects, most of which
  // are never involved again; sending each to hundreds of hosts would cost the
  // seed more than the crash.
  kFollower,
};

// Exchanges evidence on requests that crash endpoints with other hosts. Not
// thread-safe; the quarantine is.
class CrashExchange {
 public:
  // Minimum number of crashes for which followers get reports on a request.
  static constexpr std::size_t kMinCrashesForFollowers = 2;

  explicit CrashExchange(RequestQuarantine& quarantine)
      : quarantine_(quarantine) {}

  // Sets a function that runs when there are updates to share, on the thread
  // that caused them.
  void SetOnUpdates(std::function<void()> on_updates) {
    quarantine_.SetOnUpdates(std::move(on_updates));
  }

  // Adds a peer and sends it the evidence so far. Does nothing if the peer is
  // known with the same role.
  void OnPeer(const HostId& host,
              CrashPeerRole role,
              TimePoint now,
              Outbox& out);
  void OnPeerGone(const HostId& host);
  void OnReport(const HostId& from,
                const CrashReport& report,
                TimePoint now,
                Outbox& out);
  // Sends the findings of this host since the last call to its peers.
  void Share(TimePoint now, Outbox& out);

  // The FleetModule interface, for a fleet that is a full mesh.
  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out) { Share(now, out); }

 private:
  std::vector<HostId> PeersWithRole(CrashPeerRole role,
                                    const HostId& excluded) const;
  // Sends updates to followers, and to all seeds except `from`.
  void Relay(const CrashUpdates& updates,
             const HostId& from,
             TimePoint now,
             Outbox& out) const;
  // Returns the part of the updates that followers get, together with earlier
  // evidence on these requests that was held back.
  CrashUpdates SelectForFollowers(const CrashUpdates& updates) const;

  RequestQuarantine& quarantine_;
  std::map<HostId, CrashPeerRole> peers_;
  // The reachable hosts of the last view.
  std::map<HostId, Incarnation> incarnations_;
};

}  // namespace damasktack

#endif  // FLEET_CRASH_EXCHANGE_H_
