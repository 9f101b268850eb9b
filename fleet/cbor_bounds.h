#ifndef FLEET_CBOR_BOUNDS_H_
#define FLEET_CBOR_BOUNDS_H_

#include <cstddef>
#include <string_view>

#include "core/error.h"
#include "core/json_reader.h"

namespace damasktack {

inline constexpr std::size_t kMaxCborDepth = 16;

// Checks that `bytes` is exactly one CBOR value with definite lengths, without
// tags, with at most kMaxCborDepth levels and `max_items` values. `where` names
// the source in errors.
//
// The JSON library decodes nested values, and strings of indefinite length, by
// recursion: one megabyte of 0x7f bytes would overflow the stack and terminate
// the process. This check uses constant stack space and runs first; input that
// passes cannot make the library exceed these bounds.
leaf::result<void> CheckCborBounds(std::string_view bytes,
                                   std::string_view where,
                                   std::size_t max_items);

// Parses one CBOR value within these bounds.
leaf::result<Json> ParseCbor(std::string_view bytes,
                             std::string_view where,
                             std::size_t max_items);

}  // namespace damasktack

#endif  // FLEET_CBOR_BOUNDS_H_
