#ifndef FLEET_OVERLOAD_OVERLOAD_EXCHANGE_H_
#define FLEET_OVERLOAD_OVERLOAD_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "core/random.h"
#include "fleet/endpoint_rate_exchange.h"
#include "fleet/fleet_module.h"
#include "fleet/overload/overload_view.h"

namespace damasktack {

// The part of a linked host in a star. In a full mesh all hosts are followers.
enum class OverloadPeerRole : std::uint8_t { kSeed, kFollower };

// Decides which host is sent which statement. In a star, a host sends its
// statement to one of its seeds; seeds send each other the sum of what they
// were sent, and their followers the sum over all. In a full mesh, a host sends
// its statement to some random peers. Not thread-safe; the view is.
class OverloadExchange {
 public:
  // Number of peers that a statement is sent to in a full mesh. Admission uses
  // ratios, for which a sample of this size in 200 ms, so five times as many
  // within the lifetime of a statement, is enough; the cost then does not grow
  // with the fleet.
  static constexpr std::size_t kMeshFanout = 16;

  OverloadExchange(OverloadView& view,
                   FleetTopology topology,
                   std::uint64_t random_seed)
      : view_(view), topology_(topology), random_(random_seed) {}

  // Sets a function that runs when a statement is due, on the thread that
  // caused it.
  void SetOnUpdates(std::function<void()> on_updates) {
    view_.SetOnUpdates(std::move(on_updates));
  }

  void OnPeer(const HostId& host, OverloadPeerRole role);
  void OnPeerGone(const HostId& host);
  void OnReport(const HostId& from,
                const ServiceLoadReport& report,
                TimePoint now,
                Outbox& out);
  void OnSum(const HostId& from,
             const ServiceLoadSum& sum,
             TimePoint now,
             Outbox& out);
  // Sends this host's statement, or as a seed the sums, if they are due.
  void Share(TimePoint now, Outbox& out);

  // The FleetModule interface, for a fleet that is a full mesh.
  void OnView(const HostView& view, TimePoint now, Outbox& out);
  void OnMessage(const Sender& sender,
                 const PeerMessage& message,
                 TimePoint now,
                 Outbox& out);
  void Tick(TimePoint now, Outbox& out) { Share(now, out); }

 private:
  std::vector<HostId> PeersWith(OverloadPeerRole role) const;
  std::vector<HostId> SamplePeers();
  void ShareInMesh(TimePoint now, Outbox& out);
  void ShareSums(TimePoint now, Outbox& out);
  // Returns the seed that this host sends its statement to; it stays the same
  // while it is linked, because a second seed would count the host again.
  const HostId& ChooseSeed(const std::vector<HostId>& seeds);

  OverloadView& view_;
  const FleetTopology topology_;
  Random random_;
  std::map<HostId, OverloadPeerRole> peers_;
  // In a full mesh only.
  std::map<HostId, Incarnation> incarnations_;
  HostId seed_;
  TimePoint summed_at_;
};

}  // namespace damasktack

#endif  // FLEET_OVERLOAD_OVERLOAD_EXCHANGE_H_
