#ifndef FLEET_RELAY_TABLE_H_
#define FLEET_RELAY_TABLE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "core/random.h"
#include "fleet/relay_messages.h"

namespace damasktack {

// The offers that a seed knows, its own included, and the choice of peers for a
// host. It is a pure state machine.
class RelayTable {
 public:
  // Number of peers that a host gets, and how many of them may be of its own
  // zone: a zone can be cut off as a whole.
  static constexpr std::size_t kMaxPeers = 8;
  static constexpr std::size_t kMaxPeersOfZone = 5;

  // Applies an offer that arrived from `source`, which is the offering host or
  // a seed that forwards it.
  void Set(const HostId& source, const RelayOffers::Offer& offer);
  // Removes the offers that arrived from `source` and returns them.
  std::vector<RelayOffers::Offer> RemoveSource(const HostId& source);

  // Returns the offers that arrived from the offering hosts themselves.
  std::vector<RelayOffers::Offer> Direct() const;
  // Returns peers for a host: random ones that reach all services which the
  // host does not, those of its zone first. A service that no host reaches is
  // disregarded.
  std::vector<RelayHost> Choose(const RelayOffers::Offer& host,
                                Random& random) const;

  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    RelayOffers::Offer offer;
    HostId source;
  };

  std::map<HostId, Entry> entries_;
};

}  // namespace damasktack

#endif  // FLEET_RELAY_TABLE_H_
