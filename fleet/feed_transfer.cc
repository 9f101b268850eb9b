#include "fleet/feed_transfer.h"

namespace damasktack {

bool FeedTransfer::Continues(const FeedPart& part,
                             Duration patience,
                             TimePoint now) {
  const FeedUpdate& update = part.update;
  const bool is_next =
      part.range.IsFirst() ||
      (IsUnderWay(now) && after_ == update.after &&
       current_ == update.changes.current && begin_ == part.range.begin);
  *this = FeedTransfer();
  if (is_next && !part.range.IsLast()) {
    after_ = update.after;
    current_ = update.changes.current;
    begin_ = part.range.end;
    until_ = now + patience;
  }
  return is_next;
}

}  // namespace damasktack
