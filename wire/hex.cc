#include "wire/hex.h"

namespace damasktack {

std::string ToHex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kDigitBits = 4;
  constexpr unsigned kDigitMask = 15;
  std::string hex;
  hex.reserve(2 * bytes.size());
  for (const char it : bytes) {
    const auto byte = static_cast<unsigned char>(it);
    hex += kDigits[byte >> kDigitBits];
    hex += kDigits[byte & kDigitMask];
  }
  return hex;
}

}  // namespace damasktack
