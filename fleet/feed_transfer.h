#ifndef FLEET_FEED_TRANSFER_H_
#define FLEET_FEED_TRANSFER_H_

#include "core/ids.h"
#include "core/time.h"
#include "fleet/published_messages.h"

namespace damasktack {

// Tracks an update received in parts and the start of the next expected part.
class FeedTransfer {
 public:
  // Whether the part is the next one expected. A part that does not arrive
  // within `timeout` counts as lost.
  bool Continues(const FeedPart& part, Duration timeout, TimePoint now);
  bool IsInProgress(TimePoint now) const { return now < expires_at_; }

 private:
  StoreRevision after_ = 0;
  StoreRevision current_ = 0;
  EndpointId begin_;
  TimePoint expires_at_;
};

}  // namespace damasktack

#endif  // FLEET_FEED_TRANSFER_H_
