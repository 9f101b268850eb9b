#include "proxy/request_digest.h"

#include <xxhash.h>

#include <string>

namespace damasktack {

std::uint64_t DigestOf(const HttpRequest& request) {
  const std::string text = std::string(request.method_string()) + "\n" +
                           std::string(request.target()) + "\n" +
                           request.body();
  return XXH3_64bits(text.data(), text.size());
}

RequestFingerprint FingerprintOf(std::string_view caller,
                                 const HttpRequest& request) {
  const XXH64_hash_t seed = XXH3_64bits(caller.data(), caller.size());
  const std::string head = std::string(request.method_string()) + "\n" +
                           std::string(request.target()) + "\n";
  const XXH64_hash_t head_digest =
      XXH3_64bits_withSeed(head.data(), head.size(), seed);
  return {XXH3_64bits_withSeed(request.body().data(), request.body().size(),
                               head_digest)};
}

}  // namespace damasktack
