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

// Opens the exchange of what is published on a new link, and asks again after
// a gap.
struct FeedHello {
  static constexpr std::string_view kKind = "feed-hello";

  // Place among the seeds; a host that is none has kNoSeed. What is published
  // passes from lower ranks to higher ones only, so that it goes in no circle.
  std::int64_t rank = 0;
  // Where peers reach the sender.
  SocketAddress address;
  // What the sender has already.
  Revision revision = 0;
  // Hosts that are no seeds and that the sender feeds.
  std::int64_t followers = 0;
  // The one that the sender has; none where it has not been told.
  HostNumber seat;

  static constexpr std::int64_t kNoSeed = 1'000'000;

  Json ToJson() const;
  static leaf::result<FeedHello> Parse(const Json& json,
                                       const std::string& path);

  bool operator==(const FeedHello&) const = default;
};

// Changes after a revision, or none: then it says that nothing has changed.
struct FeedUpdate {
  // A daemon that knows no tables passes this kind over. Under the kind of
  // before it would take an update without a list of objects for one that
  // changes nothing.
  static constexpr std::string_view kKind = "feed-tables";

  // The receiver must have this revision for the changes to be all.
  Revision after = 0;
  PublishedItems changes;
  // The sender cannot name each removal after `after`: it began to read later.
  // What is neither in the changes nor in `present` is published no more.
  bool whole = false;
  // Endpoints that have not changed since `after`; only where it is whole. Ids
  // take a fifth of the entries, which the receiver has.
  std::vector<EndpointId> present;
  // Endpoints removed may only have lost their lease while the store was away.
  bool after_outage = false;
  // Hosts of the fleet as far as the sender knows; 0 where it does not.
  std::int64_t hosts = 0;
  // The process that the store confirmed it to, by a number of its own.
  std::uint64_t reader = 0;
  // How long ago the store confirmed that `changes.current` is the newest.
  Duration age{};

  Json ToJson() const;
  static leaf::result<FeedUpdate> Parse(const Json& json,
                                        const std::string& path);

  bool operator==(const FeedUpdate&) const = default;
};

// A range of an update that is too large for one message. Parts are sent one
// after the other; the last one confirms them all. Of a kind of its own, since
// a daemon that knows no ranges would take it for all there is.
struct FeedPart {
  static constexpr std::string_view kKind = "feed-part";

  FeedUpdate update;
  EndpointRange range;

  Json ToJson() const;
  static leaf::result<FeedPart> Parse(const Json& json,
                                      const std::string& path);

  bool operator==(const FeedPart&) const = default;
};

// A seed gives a host that follows it another seat than that host has said.
struct FeedNumberAssignment {
  static constexpr std::string_view kKind = "feed-seat";

  HostNumber seat;

  Json ToJson() const;
  static leaf::result<FeedNumberAssignment> Parse(const Json& json,
                                                  const std::string& path);

  bool operator==(const FeedNumberAssignment&) const = default;
};

// The sender asks the store and gets no answer, or was told so. Without a word
// a follower cannot tell such a seed from one that is dead, and asks the store
// itself.
struct FeedOutage {
  static constexpr std::string_view kKind = "feed-outage";

  // Hosts of the fleet as far as the sender knows; 0 where it does not.
  std::int64_t hosts = 0;

  Json ToJson() const;
  static leaf::result<FeedOutage> Parse(const Json& json,
                                        const std::string& path);

  bool operator==(const FeedOutage&) const = default;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_MESSAGES_H_
