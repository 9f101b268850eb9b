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
  // Address under which peers reach this host, and the seeds in order of rank.
  SocketAddress address;
  std::vector<SocketAddress> seeds;

  // A host reads the store itself if its data was last confirmed longer ago
  // than this. Together with the duration of a store call it stays below the
  // two seconds within which a change must take effect. Seeds use a shorter
  // limit so that their followers need not read the store as well.
  Duration stale_after = std::chrono::milliseconds(1400);
  Duration seed_stale_after = std::chrono::milliseconds(1000);
  // How long a starting host waits for an update before it reads the store.
  Duration initial_feed_timeout = std::chrono::milliseconds(250);
  // Whether a starting host first reads from any replica of the store: the
  // routes and a part of the endpoints, with which it serves requests, then all
  // endpoints. After a power loss all hosts start together and no host can feed
  // them; a stale replica is as good as what they knew before, and its data is
  // confirmed or replaced within `copy_feed_timeout`.
  bool early_read = false;
  // How long a host waits for an update after the early read: it can serve
  // requests with that data, and the seeds are back within a second after a
  // power loss. The wait ends at the latest `max_start_wait` after the start,
  // so that no endpoint that has left receives requests for longer than two
  // seconds plus a store call.
  Duration copy_feed_timeout = std::chrono::milliseconds(1000);
  Duration max_start_wait = std::chrono::milliseconds(2000);
  // A host tries the next seed if it has not been fed for this long.
  Duration seed_timeout = std::chrono::milliseconds(400);
  // How long a link to a seed is kept after the last update from it, so that a
  // seed that is briefly slow is not reconnected by all its hosts.
  Duration seed_link_retention = std::chrono::milliseconds(3000);

  // Interval between hellos to a seed that this host follows.
  Duration hello_interval = std::chrono::milliseconds(1500);

  // A host number is used only this long after the start, when all hosts have
  // sent three hellos. After a power loss hosts return one after the other, and
  // the first ones would take shares of an endpoint that belong to the whole
  // fleet.
  Duration number_settling_time = std::chrono::milliseconds(5000);

  // Maximum number of endpoint entries per message. Larger updates are sent in
  // parts, so that no fleet size produces a frame that peers reject or that
  // delays their requests.
  std::size_t max_part_entries = 1000;
  // How long to wait for the next part of an update.
  Duration part_timeout = std::chrono::milliseconds(1000);

  // Duration of a store watch; each response confirms the data of the fleet.
  Duration watch = std::chrono::milliseconds(600);
  // Delay before the next watch after one that returned changes, so that
  // changes within this time cost one store call.
  Duration gather = std::chrono::milliseconds(150);
  // Backoff between failed store calls: doubled from the shortest to the
  // longest, with jitter. Hosts that are not seeds wait longer because the
  // seeds tell them when the store is back. During an outage reported by a
  // seed, all hosts that are not seeds together make one call per
  // `outage_call_spacing`, so that the number of calls does not grow with the
  // fleet.
  Duration min_backoff = std::chrono::milliseconds(150);
  Duration max_backoff = std::chrono::milliseconds(700);
  Duration max_follower_backoff = std::chrono::milliseconds(2000);
  Duration outage_call_spacing = std::chrono::milliseconds(100);
  // Interval at which a seed that cannot reach the store sends outage notices,
  // and how long a notice is valid: two of them may be lost.
  Duration outage_notice_interval = std::chrono::milliseconds(400);
  Duration outage_notice_validity = std::chrono::milliseconds(1200);
  // An endpoint that is removed within this time after a store outage may only
  // have lost its lease.
  Duration post_outage_time = std::chrono::milliseconds(2500);
};

// The next action for the owner of a feed.
struct FeedStep {
  enum class Kind : std::uint8_t {
    kWait,
    kReadPart,
    kReadEndpoints,
    kReadAll,
    kWatch
  };

  Kind kind = Kind::kWait;
  // Maximum duration of the watch or of the wait before the next step; timeout
  // of a read.
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
