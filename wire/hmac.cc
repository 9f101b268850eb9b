#include "wire/hmac.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>

namespace damasktack {

std::string HmacSha256(std::string_view key, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &n);
  return std::string(digest.begin(), digest.begin() + n);
}

}  // namespace damasktack
