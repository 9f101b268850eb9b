#ifndef FLEET_RELAY_EXCHANGE_H_
#define FLEET_RELAY_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "core/random.h"
#include "fleet/fleet_module.h"
#include "fleet/relay_directory.h"
#include "fleet/relay_table.h"

namespace damasktack {

enum class RelayPeerRole : std::uint8_t { kSeed, kFollower };

// Lets the hosts of a fleet with seeds find peers for relayed calls. Each host
// sends its offer to the seeds that it is connected to, and these reply with a
// few peers that reach what the host does not; so a change costs messages
// between the host and the seeds only, whatever the size of the fleet. Not
// thread-safe; the directory is.
class RelayExchange {
 public:
  RelayExchange(RelayDirectory& directory, std::uint64_t random_seed)
      : directory_(directory), random_(random_seed) {}

  // Sets a function that runs when there are updates to share, on the thread
  // that caused them.
  void SetOnUpdates(std::function<void()> on_updates) {
    directory_.SetOnUpdates(std::move(on_updates));
  }

  // Adds a peer. A seed gets the offers of this host and its followers. Does
  // nothing if the peer is known with the same role.
  void OnPeer(const HostId& host, RelayPeerRole role, Outbox& out);
  void OnPeerGone(const HostId& host, Outbox& out);
  void OnOffers(const HostId& from, const RelayOffers& message, Outbox& out);
  void OnPeers(const RelayPeers& message);
  // Sends this host's offer to the seeds if it has changed.
  void Share(TimePoint now, Outbox& out);

 private:
  std::vector<HostId> Seeds() const;
  void UpdateOwnOffer();
  // Chooses this host's own peers from the offers that it knows, if it needs
  // any now. A host that knows no offers gets its peers from a seed instead.
  void ChooseOwnPeers();

  RelayDirectory& directory_;
  Random random_;
  RelayTable table_;
  std::map<HostId, RelayPeerRole> peers_;
};

}  // namespace damasktack

#endif  // FLEET_RELAY_EXCHANGE_H_
