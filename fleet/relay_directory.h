#ifndef FLEET_RELAY_DIRECTORY_H_
#define FLEET_RELAY_DIRECTORY_H_

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "fleet/relay_messages.h"

namespace damasktack {

// What one host knows of relays: its own offer, and the peers to which it can
// relay calls. Connects the threads that serve callers to RelayExchange.
// Thread-safe.
class RelayDirectory {
 public:
  // Sets what this host offers. Without it the host takes no relayed calls.
  void SetSelf(RelayHost self);
  std::optional<RelayHost> self() const;

  // Records whether this host reaches the endpoints of a service.
  void SetReachable(const ServiceId& service, bool is_reachable);
  // Forgets a service that is no longer published; runs no update function.
  void Forget(const ServiceId& service);
  // Asks for the peers that reach the services which this host does not.
  void RequestPeers();
  // Returns the peers as last chosen for this host; never the host itself.
  std::vector<RelayHost> peers() const;

  // For RelayExchange: sets the peers.
  void SetPeers(std::vector<RelayHost> peers);
  // Returns this host's offer; null if it takes no relayed calls.
  std::optional<RelayOffers::Offer> Offer() const;
  // Returns whether the offer has changed, or peers were requested, since the
  // last call.
  bool TakeUpdate();
  // Sets a function that runs when there is an update, on the thread that
  // caused it, without the mutex held.
  void SetOnUpdates(std::function<void()> on_updates);

 private:
  void Notify();

  mutable std::mutex mutex_;
  std::optional<RelayHost> self_;
  std::set<ServiceId> unreachable_;
  std::vector<RelayHost> peers_;
  bool has_update_ = false;
  std::function<void()> on_updates_;
};

}  // namespace damasktack

#endif  // FLEET_RELAY_DIRECTORY_H_
