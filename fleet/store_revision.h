#ifndef FLEET_STORE_REVISION_H_
#define FLEET_STORE_REVISION_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

#include "contract/document.h"
#include "core/json_reader.h"

namespace damasktack {

// Counts the returns of a store from an older copy of itself. Each return loses
// the newest changes, and their revisions are given out again.
using StoreEra = std::uint64_t;

// Position of a change in the history of the store. A store that returns from
// an older copy gives its last revisions out again, so changes are ordered by
// the store's era first and by its own revision second: what was read after a
// return is newer than everything that was read before it. Neither number has
// a limit but that of its type.
struct StoreRevision {
  StoreEra era = 0;
  Revision number = 0;

  constexpr StoreRevision() = default;
  // A revision of a store that has never returned.
  // NOLINTNEXTLINE(google-explicit-constructor)
  constexpr StoreRevision(Revision first_era_number)
      : number(first_era_number) {}
  constexpr StoreRevision(StoreEra of_era, Revision own_number)
      : era(of_era), number(own_number) {}

  auto operator<=>(const StoreRevision&) const = default;
};

// Encodes a revision for messages between hosts: both numbers in one, era
// first, if they fit into 20 and 44 bits, otherwise as [era, number]. Hosts
// that know only the first form refuse messages in the second one and read the
// store by themselves.
void to_json(Json& json, const StoreRevision& revision);
// Returns null for anything else. A number with its lower 44 bits set is
// refused: hosts that know only one number write it for every larger revision.
std::optional<StoreRevision> ParseRevision(const Json& json);
void ReadRevision(JsonReader& reader, std::string_view key, StoreRevision& out);

}  // namespace damasktack

#endif  // FLEET_STORE_REVISION_H_
