#ifndef MAIN_FLEET_SETTINGS_H_
#define MAIN_FLEET_SETTINGS_H_

#include <string>
#include <vector>

#include "core/json_reader.h"

namespace damasktack {

// The section "fleet". Without it the daemon runs without peers.
struct FleetSettings {
  bool enabled = false;
  // Address at which peers connect to this host; must equal its address in the
  // platform's list of hosts.
  SocketAddress listen;
  // Secret shared by all hosts of the fleet, at least 16 characters; set here
  // or read from `key_file`. Never logged.
  std::string key;
  std::string key_file;
  // Peers to query while the platform is unreachable and no list of hosts is
  // known.
  std::vector<SocketAddress> seeds;
  Duration heartbeat = std::chrono::seconds(1);
  // A peer without a message for this long counts as unreachable.
  Duration silence = std::chrono::seconds(3);
  // Average interval between digests of documents sent to a random peer.
  Duration digest = std::chrono::milliseconds(500);
  // Number of peers that a changed document is sent to at once.
  std::int64_t fanout = 4;
  // How long a host waits for peers that do not respond, after its start or
  // after a long pause of the process.
  Duration peer_wait = std::chrono::seconds(2);
  // After a longer pause of the process the host verifies its state of the
  // fleet again.
  Duration late_wake = std::chrono::seconds(1);
  // Only for tests of partitions: a file with the hosts to which links are cut.
  std::string test_cut_file;
};

// Checks constraints between settings and reads the key from `key_file` if that
// is set.
leaf::result<void> CompleteFleetSettings(FleetSettings& fleet);

}  // namespace damasktack

#endif  // MAIN_FLEET_SETTINGS_H_
