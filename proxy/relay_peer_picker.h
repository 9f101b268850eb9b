#ifndef PROXY_RELAY_PEER_PICKER_H_
#define PROXY_RELAY_PEER_PICKER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "fleet/relay_directory.h"

namespace damasktack {

// How the relay of a call to one peer ended.
enum class RelayEnd : std::uint8_t {
  // The peer answered for the call.
  kTaken,
  // The peer did not take the call.
  kRefused,
  // The peer could not be reached, or its answer was lost.
  kLost,
};
inline constexpr std::size_t kRelayEndCount = 3;
std::string_view ToString(RelayEnd end);

// Picks the peers to which this host relays calls. Spreads the calls by how
// many each peer has from this host, and leaves out peers that have just
// refused a call or could not be reached. Thread-safe.
class RelayPeerPicker {
 public:
  // How long a peer is left out.
  static constexpr Duration kRefusedBackoff = std::chrono::milliseconds(200);
  static constexpr Duration kLostBackoff = std::chrono::seconds(1);
  // How often fresh peers are requested while calls are relayed.
  static constexpr Duration kRequestInterval = std::chrono::seconds(1);

  // The region of each zone.
  using Regions = std::map<ZoneId, RegionId>;

  // `directory` and `regions` must outlive the picker.
  RelayPeerPicker(RelayDirectory& directory, const Regions& regions)
      : directory_(directory), regions_(regions) {}

  // Returns the peer with the fewest calls from this host, one of the same zone
  // first. Leaves out the hosts in `tried`, and those outside of
  // `allowed_regions` unless that is empty. Each peer returned must be followed
  // by OnEnd.
  std::optional<RelayHost> Pick(const std::vector<HostId>& tried,
                                const std::vector<RegionId>& allowed_regions,
                                TimePoint now);
  void OnEnd(const HostId& peer, RelayEnd end, TimePoint now);

 private:
  struct Peer {
    std::int64_t calls = 0;
    TimePoint usable_at;
  };

  void RequestPeersIfDue(TimePoint now);
  bool IsIn(const ZoneId& zone, const std::vector<RegionId>& regions) const;

  RelayDirectory& directory_;
  const Regions& regions_;
  std::mutex mutex_;
  std::map<HostId, Peer> peers_;
  TimePoint next_request_;
};

}  // namespace damasktack

#endif  // PROXY_RELAY_PEER_PICKER_H_
