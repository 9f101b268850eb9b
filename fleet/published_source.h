#ifndef FLEET_PUBLISHED_SOURCE_H_
#define FLEET_PUBLISHED_SOURCE_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "contract/document.h"
#include "contract/route.h"
#include "contract/route_table_delta.h"
#include "core/error.h"
#include "core/time.h"

namespace damasktack {

// An endpoint that is published no more.
struct RemovedEndpoint {
  EndpointId id;

  bool operator==(const RemovedEndpoint&) const = default;
};

// An endpoint whose entry cannot be used: fields that are missing or of another
// type, a state that is not known, bytes that are no value. Whoever wrote it,
// it names nothing to send calls to, and the entry it replaced is gone.
struct UnusableEndpoint {
  EndpointId id;
  Error error;

  bool operator==(const UnusableEndpoint&) const = default;
};

// The operator wants no calls sent to the endpoints of a zone, or has taken
// that back.
struct ZoneDrain {
  ZoneId zone;
  bool in_force = false;

  bool operator==(const ZoneDrain&) const = default;
};

// A value that could not be read; the last good one stays in force.
struct UnreadableValue {
  Error error;

  bool operator==(const UnreadableValue&) const = default;
};

// Changes of a book come from peers only; the store always holds it whole.
using PublishedValue = std::variant<RouteTable,
                                    RouteTableDelta,
                                    PublishedEndpoint,
                                    RemovedEndpoint,
                                    UnusableEndpoint,
                                    ZoneDrain,
                                    UnreadableValue>;

struct PublishedItem {
  // Of its last change; goes up over all items together.
  Revision revision = 0;
  PublishedValue value;

  bool operator==(const PublishedItem&) const = default;
};

struct PublishedItems {
  std::vector<PublishedItem> items;
  // Changes up to here are in the items.
  Revision current = 0;

  bool operator==(const PublishedItems&) const = default;
};

// Routes, drains of zones and endpoints as the platform publishes them: read
// and watched, never written. Errors: kStale where the changes after a revision
// are no longer kept, kUnreachable, kTimeout, kProtocol.
class PublishedSource {
 public:
  virtual ~PublishedSource() = default;

  // All items. They are read page by page and are no snapshot: `current` is
  // the oldest revision of a page, so that a watch from it misses nothing.
  virtual leaf::result<PublishedItems> ReadAll(Duration timeout) = 0;
  // Of any copy of the store, which is cheaper and perhaps seconds old: the
  // routes, the drains of zones and a random sixteenth of the endpoints; then
  // all endpoints.
  virtual leaf::result<PublishedItems> ReadPart(Duration timeout) = 0;
  virtual leaf::result<PublishedItems> ReadEndpoints(Duration timeout) = 0;
  // Waits up to `wait` for changes after a revision.
  virtual leaf::result<PublishedItems> Watch(Revision after, Duration wait) = 0;
  // Makes a call that is waiting now fail at once.
  virtual void Interrupt() = 0;
};

}  // namespace damasktack

#endif  // FLEET_PUBLISHED_SOURCE_H_
