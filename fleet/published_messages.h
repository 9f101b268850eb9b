#ifndef FLEET_PUBLISHED_MESSAGES_H_
#define FLEET_PUBLISHED_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/json_reader.h"
#include "fleet/published_part.h"
#include "fleet/published_source.h"
#include "policy/host_number.h"

namespace damasktack {

// Starts the exchange of published data on a new link, and requests missing
// data after a gap.
struct FeedHello {
  static constexpr std::string_view kKind = "feed-hello";

  // Position among the seeds; kNoSeed for a host that is not a seed. Data is
  // forwarded from lower to higher ranks only, so that it cannot circulate.
  std::int64_t rank = 0;
  // Address under which peers reach the sender.
  SocketAddress address;
  // Revision of the data that the sender already has.
  StoreRevision revision = 0;
  // Number of non-seed hosts that the sender feeds.
  std::int64_t followers = 0;
  // Host number of the sender; unknown until a seed has assigned one.
  HostNumber host_number;

  static constexpr std::int64_t kNoSeed = 1'000'000;

  Json ToJson() const;
  static leaf::result<FeedHello> Parse(const Json& json,
                                       const std::string& path);

  bool operator==(const FeedHello&) const = default;
};

// Changes after a revision. Without changes it confirms that the revision is
// still the newest.
struct FeedUpdate {
  // Daemons that do not know eras ignore this kind. Under the previous kind
  // they would take revisions of a later era for their store's, and no change
  // that they read themselves would be newer.
  static constexpr std::string_view kKind = "feed-eras";

  // Base revision: the receiver must have all changes up to it.
  StoreRevision after = 0;
  PublishedItems changes;
  // The sender does not know all removals after `after` because it began to
  // read later. Anything that is neither in the changes nor in `present` is no
  // longer published.
  bool whole = false;
  // IDs of endpoints that have not changed since `after`; only used if `whole`
  // is set. An ID takes a fifth of the size of an entry, and the receiver has
  // the entry.
  std::vector<EndpointId> present;
  // The store was recently unreachable, so removed endpoints may only have lost
  // their lease.
  bool after_outage = false;
  // Number of hosts in the fleet; 0 if unknown to the sender.
  std::int64_t hosts = 0;
  // Reader ID of the process that received the confirmation from the store.
  std::uint64_t reader = 0;
  // Time since the store confirmed that `changes.current` is the newest
  // revision.
  Duration age{};

  Json ToJson() const;
  static leaf::result<FeedUpdate> Parse(const Json& json,
                                        const std::string& path);

  bool operator==(const FeedUpdate&) const = default;
};

// One range of an update that is too large for a single message. Parts are sent
// in order; the last one confirms them all. It has its own kind because a
// daemon that does not know ranges would take a part for the full update.
struct FeedPart {
  static constexpr std::string_view kKind = "feed-era-part";

  FeedUpdate update;
  EndpointRange range;

  Json ToJson() const;
  static leaf::result<FeedPart> Parse(const Json& json,
                                      const std::string& path);

  bool operator==(const FeedPart&) const = default;
};

// Sent by a seed to a follower whose host number differs from the one that the
// seed assigns to it.
struct FeedNumberAssignment {
  static constexpr std::string_view kKind = "feed-seat";

  HostNumber host_number;

  Json ToJson() const;
  static leaf::result<FeedNumberAssignment> Parse(const Json& json,
                                                  const std::string& path);

  bool operator==(const FeedNumberAssignment&) const = default;
};

// Reports that the store does not answer the sender, or that the sender was
// told so by another seed. Without this message a follower cannot tell such a
// seed from a dead one and would read the store itself.
struct FeedOutage {
  static constexpr std::string_view kKind = "feed-outage";

  // Number of hosts in the fleet; 0 if unknown to the sender.
  std::int64_t hosts = 0;

  Json ToJson() const;
  static leaf::result<FeedOutage> Parse(const Json& json,
                                        const std::string& path);

  bool operator==(const FeedOutage&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_MESSAGES_H_
