#ifndef FLEET_PUBLISHED_SOURCE_H_
#define FLEET_PUBLISHED_SOURCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "contract/document.h"
#include "contract/route.h"
#include "contract/route_table_delta.h"
#include "core/error.h"
#include "core/time.h"
#include "fleet/store_revision.h"

namespace damasktack {

// An endpoint that is no longer published.
struct RemovedEndpoint {
  EndpointId id;

  bool operator==(const RemovedEndpoint&) const = default;
};

// An endpoint whose entry is unusable: missing fields, fields of a wrong type,
// an unknown state, or undecodable bytes. Such an entry contains no target for
// requests, and the valid entry it replaced no longer exists, whoever wrote it.
struct UnusableEndpoint {
  EndpointId id;
  Error error;

  bool operator==(const UnusableEndpoint&) const = default;
};

// The operator has drained the endpoints of a zone (`in_force`) or has ended
// that drain.
struct ZoneDrain {
  ZoneId zone;
  bool in_force = false;

  bool operator==(const ZoneDrain&) const = default;
};

// A value that could not be parsed; the last valid one stays in use.
struct UnreadableValue {
  Error error;

  bool operator==(const UnreadableValue&) const = default;
};

// A value that is in force except for one number, which is used as the nearest
// supported one. Stands beside the value itself; not sent to peers.
struct AdjustedValue {
  Error error;

  bool operator==(const AdjustedValue&) const = default;
};

// RouteTableDelta is only received from peers; the store always holds the full
// table.
using PublishedValue = std::variant<RouteTable,
                                    RouteTableDelta,
                                    PublishedEndpoint,
                                    RemovedEndpoint,
                                    UnusableEndpoint,
                                    ZoneDrain,
                                    UnreadableValue,
                                    AdjustedValue>;

struct PublishedItem {
  // Revision of the last change; revisions increase across all items within one
  // era of the store.
  StoreRevision revision = 0;
  PublishedValue value;

  bool operator==(const PublishedItem&) const = default;
};

struct PublishedItems {
  std::vector<PublishedItem> items;
  // All changes up to this revision are included.
  StoreRevision current = 0;
  // How often the store has returned from an older copy of itself; not sent to
  // peers.
  StoreEra era = 0;

  bool operator==(const PublishedItems&) const = default;
};

// Puts the revisions of items that were read from the store into its era.
inline void PutInEra(PublishedItems& items) {
  items.current.era = items.era;
  for (PublishedItem& it : items.items) {
    it.revision.era = items.era;
  }
}

// Reads and watches the routes, zone drains and endpoints published by the
// platform; never writes. Errors: kStale if the changes after a revision are no
// longer kept, kUnreachable, kTimeout, kProtocol.
class PublishedSource {
 public:
  virtual ~PublishedSource() = default;

  // Reads all items. They are read page by page and are not a snapshot:
  // `current` is the oldest revision of any page, so a watch from it misses no
  // change.
  virtual leaf::result<PublishedItems> ReadAll(Duration timeout) = 0;
  // Read from any replica of the store, which is cheaper but possibly seconds
  // old. ReadPart returns the routes, the zone drains and a random sixteenth of
  // the endpoints, ReadEndpoints all endpoints.
  virtual leaf::result<PublishedItems> ReadPart(Duration timeout) = 0;
  virtual leaf::result<PublishedItems> ReadEndpoints(Duration timeout) = 0;
  // Waits up to `wait` for changes after a revision of the store and returns
  // them. The store may have returned from a copy meanwhile; the era of the
  // result tells.
  virtual leaf::result<PublishedItems> Watch(Revision after, Duration wait) = 0;
  // Makes a pending call fail at once.
  virtual void Interrupt() = 0;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_SOURCE_H_
