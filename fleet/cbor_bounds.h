#ifndef FLEET_CBOR_BOUNDS_H_
#define FLEET_CBOR_BOUNDS_H_

#include <cstddef>
#include <string_view>

#include "core/error.h"
#include "core/json_reader.h"

namespace damasktack {

inline constexpr std::size_t kDeepestCbor = 16;
inline constexpr std::size_t kMostCborItems = 65'536;

// Checks that `bytes` is exactly one CBOR value with lengths known in
// advance, no tags, at most kDeepestCbor levels and `most_items` values.
//
// The JSON library decodes nested values, and strings of unknown length, by
// recursion: a megabyte of 0x7f bytes would end the process by overflow of its
// stack. This check runs in constant stack before it, and what passes cannot
// make the library recurse deeper or hold more values than the bounds say.
// `where` names the source in errors.
leaf::result<void> CheckCborBounds(std::string_view bytes,
                                   std::string_view where,
                                   std::size_t most_items = kMostCborItems);

// Parses one CBOR value within these bounds.
leaf::result<Json> ParseCbor(std::string_view bytes,
                             std::string_view where,
                             std::size_t most_items = kMostCborItems);

}  // namespace damasktack

#endif  // FLEET_CBOR_BOUNDS_H_
