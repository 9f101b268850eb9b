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
  std::string head(caller);
  for (const std::string_view it :
       {FromBeast(request.method_string()), FromBeast(request.target()),
        FromBeast(request[http::field::authorization]),
        FromBeast(request[http::field::cookie])}) {
    head += '\n';
    head += it;
  }
  const XXH64_hash_t seed = XXH3_64bits(head.data(), head.size());
  return {
      XXH3_64bits_withSeed(request.body().data(), request.body().size(), seed)};
}

}  // namespace damasktack
