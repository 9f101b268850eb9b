#ifndef WIRE_HMAC_H_
#define WIRE_HMAC_H_

#include <string>
#include <string_view>

namespace damasktack {

// Returns the 32 bytes of HMAC-SHA256.
std::string HmacSha256(std::string_view key, std::string_view text);

}  // namespace damasktack

#endif  // WIRE_HMAC_H_
