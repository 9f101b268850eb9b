#include "fleet/feed_transfer.h"

namespace damasktack {

bool FeedTransfer::Continues(const FeedPart& part,
                             Duration timeout,
                             TimePoint now) {
  const FeedUpdate& update = part.update;
  const bool is_next =
      part.range.IsFirst() ||
      (IsInProgress(now) && after_ == update.after &&
       current_ == update.changes.current && begin_ == part.range.begin);
  *this = FeedTransfer();
  if (is_next && !part.range.IsLast()) {
    after_ = update.after;
    current_ = update.changes.current;
    begin_ = part.range.end;
    expires_at_ = now + timeout;
  }
  return is_next;
}

}  // namespace damasktack
