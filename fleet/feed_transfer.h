#ifndef FLEET_FEED_TRANSFER_H_
#define FLEET_FEED_TRANSFER_H_

#include "core/ids.h"
#include "core/time.h"
#include "fleet/published_messages.h"

namespace damasktack {

// An update that comes from a peer in parts, and where the next one begins.
class FeedTransfer {
 public:
  // Whether the part is the one that is to come next. One that has not come
  // after `patience` was lost.
  bool Continues(const FeedPart& part, Duration patience, TimePoint now);
  bool IsUnderWay(TimePoint now) const { return now < until_; }

 private:
  Revision after_ = 0;
  Revision current_ = 0;
  EndpointId begin_;
  TimePoint until_;
};

}  // namespace damasktack

#endif  // FLEET_FEED_TRANSFER_H_
