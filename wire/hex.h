#ifndef WIRE_HEX_H_
#define WIRE_HEX_H_

#include <string>
#include <string_view>

namespace damasktack {

// Returns two lower-case hexadecimal digits for each byte.
std::string ToHex(std::string_view bytes);

}  // namespace damasktack

#endif  // WIRE_HEX_H_
