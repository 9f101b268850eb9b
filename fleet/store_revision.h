#ifndef FLEET_STORE_REVISION_H_
#define FLEET_STORE_REVISION_H_

#include <algorithm>

#include "fleet/published_source.h"

namespace damasktack {

// A store that returns from an older copy gives its last revisions out again.
// Hosts therefore order changes by the store's era first and by its revision
// second, combined in one number: what was read after a return is newer than
// everything that was read before it. In era 0 both numbers are the same.
inline constexpr int kStoreRevisionBits = 44;
inline constexpr Revision kMaxStoreRevision =
    (Revision{1} << kStoreRevisionBits) - 1;
inline constexpr StoreEra kMaxStoreEra = (StoreEra{1} << 20) - 1;

constexpr Revision MakeRevision(StoreEra era, Revision store_revision) {
  return (std::min(era, kMaxStoreEra) << kStoreRevisionBits) |
         std::min(store_revision, kMaxStoreRevision);
}
constexpr StoreEra EraOf(Revision revision) {
  return revision >> kStoreRevisionBits;
}
constexpr Revision StoreRevisionOf(Revision revision) {
  return revision & kMaxStoreRevision;
}

// Replaces the store's own revisions by those that hosts use.
inline void PutInEra(PublishedItems& items) {
  items.current = MakeRevision(items.era, items.current);
  for (PublishedItem& it : items.items) {
    it.revision = MakeRevision(items.era, it.revision);
  }
}

}  // namespace damasktack

#endif  // FLEET_STORE_REVISION_H_
