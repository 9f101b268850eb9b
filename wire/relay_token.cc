#include "wire/relay_token.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace damasktack {

std::string MakeRelayToken(std::string_view fleet_key) {
  constexpr std::string_view kLabel = "damasktack relayed calls 1";
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned kDigitBits = 4;
  constexpr unsigned kDigitMask = 15;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), fleet_key.data(), static_cast<int>(fleet_key.size()),
       reinterpret_cast<const unsigned char*>(kLabel.data()), kLabel.size(),
       digest.data(), &n);
  std::string token;
  for (unsigned int at = 0; at < n; ++at) {
    token += kDigits[digest[at] >> kDigitBits];
    token += kDigits[digest[at] & kDigitMask];
  }
  return token;
}

}  // namespace damasktack
