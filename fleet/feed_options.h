#ifndef FLEET_FEED_OPTIONS_H_
#define FLEET_FEED_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/ids.h"
#include "core/json_reader.h"
#include "core/time.h"

namespace damasktack {

struct PublishedFeedOptions {
  HostId self;
  // Where peers reach this host, and the hosts at which peers find each other.
  SocketAddress address;
  std::vector<SocketAddress> seeds;

  // A host whose knowledge was confirmed longer ago than this asks the store
  // itself. Together with a call to the store it stays below the two seconds
  // in which a change has to be in force. Seeds are sooner, so that those that
  // they feed need not ask as well.
  Duration stale = std::chrono::milliseconds(1400);
  Duration seed_stale = std::chrono::milliseconds(1000);
  // How long a host that starts waits for a feed before it asks the store.
  Duration initial_feed_timeout = std::chrono::milliseconds(250);
  // Whether a host that starts reads any copy of the store at once: first the
  // routes and a part of the endpoints, which it serves by, then all of them.
  // After a loss of power all hosts start together and nobody can feed them;
  // what an old copy says is as good as what they knew before, and is confirmed
  // or replaced within initial_feed_timeout.
  bool early_read = false;
  // The same patience from the moment when such a copy has been read: the host
  // can serve by it, and the seeds are back within a second after a loss of
  // power. No longer than `longest_start` after its start: no endpoint that
  // left is to get calls for longer than two seconds and a call to the store.
  Duration copy_patience = std::chrono::milliseconds(1000);
  Duration longest_start = std::chrono::milliseconds(2000);
  // A host tries the next seed where one has not fed it for this long.
  Duration seed_patience = std::chrono::milliseconds(400);
  // The link to a seed that fed it is kept for this long while it does not, so
  // that a seed that is slow for a moment is not dialed anew by all its hosts.
  Duration seed_memory = std::chrono::milliseconds(3000);

  // Between two hellos to a seed that this host follows.
  Duration hello = std::chrono::milliseconds(1500);

  // After a loss of power hosts come back one after the other, and the first
  // ones would take the fleet's turns at an endpoint for theirs. A seat counts
  // from so long after the start, when all have said hello three times.
  Duration seat_settling = std::chrono::milliseconds(5000);

  // An update with more entries of endpoints goes out in parts, so that no size
  // of a fleet makes a frame that peers refuse or that holds up their calls.
  std::size_t most_part_entries = 1000;
  // How long the next part of a transfer is waited for.
  Duration part_patience = std::chrono::milliseconds(1000);

  // One watch waits this long; each answer confirms what the fleet knows.
  Duration watch = std::chrono::milliseconds(600);
  // Changes that come within this time cost one call together.
  Duration gather = std::chrono::milliseconds(150);
  // Between failed calls: doubled from the first to the second, jittered. Hosts
  // that are no seeds wait longer: the seeds tell them when the store is back.
  // In an outage of which a seed says that it asks in vain, all hosts that are
  // no seeds ask once within `outage_share` together, so that the calls do not
  // grow with the fleet.
  Duration shortest_backoff = std::chrono::milliseconds(150);
  Duration longest_backoff = std::chrono::milliseconds(700);
  Duration longest_follower_backoff = std::chrono::milliseconds(2000);
  Duration outage_share = std::chrono::milliseconds(100);
  // A seed that asks in vain says so this often, and is taken at its word for
  // `outage_word_holds`: two words may be lost.
  Duration outage_word = std::chrono::milliseconds(400);
  Duration outage_word_holds = std::chrono::milliseconds(1200);
  // An endpoint that vanishes this soon after the store was out of reach may
  // only have lost its lease.
  Duration after_outage = std::chrono::milliseconds(2500);
};

// What the owner of a feed is to do next.
struct FeedStep {
  enum class Kind : std::uint8_t {
    kWait,
    kReadPart,
    kReadEndpoints,
    kReadAll,
    kWatch
  };

  Kind kind = Kind::kWait;
  // The longest wait, of the watch or before the next step.
  Duration time{};
};

struct FeedCounters {
  std::uint64_t reads = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;
  std::uint64_t updates_sent = 0;
  std::uint64_t updates_received = 0;
};

}  // namespace damasktack

#endif  // FLEET_FEED_OPTIONS_H_
