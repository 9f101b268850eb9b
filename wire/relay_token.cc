#include "wire/relay_token.h"

#include "wire/hex.h"
#include "wire/hmac.h"

namespace damasktack {

std::string MakeRelayToken(std::string_view fleet_key) {
  return ToHex(HmacSha256(fleet_key, "damasktack relayed calls 1"));
}

}  // namespace damasktack
