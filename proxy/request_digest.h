#ifndef PROXY_REQUEST_DIGEST_H_
#define PROXY_REQUEST_DIGEST_H_

#include <cstdint>
#include <string_view>

#include "core/request_fingerprint.h"
#include "proxy/http_types.h"

namespace damasktack {

// Returns a digest of method, target and body.
std::uint64_t DigestOf(const HttpRequest& request);

// Returns a fingerprint that is the same for all attempts of one request.
// `caller` is the customer or, if callers have no keys, the host that the
// request names. The only headers included are credentials, which distinguish
// callers behind one host; other headers differ between attempts.
RequestFingerprint FingerprintOf(std::string_view caller,
                                 const HttpRequest& request);

}  // namespace damasktack

#endif  // PROXY_REQUEST_DIGEST_H_
