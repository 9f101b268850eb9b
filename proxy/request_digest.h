#ifndef PROXY_REQUEST_DIGEST_H_
#define PROXY_REQUEST_DIGEST_H_

#include <cstdint>
#include <string_view>

#include "core/request_fingerprint.h"
#include "proxy/http_types.h"

namespace damasktack {

// Digest of method, target and body.
std::uint64_t DigestOf(const HttpRequest& request);

// `caller` is the customer or, where callers have no keys, the host that the
// request names. Of the headers only credentials count, which tell the callers
// behind one host apart; others differ from attempt to attempt.
RequestFingerprint FingerprintOf(std::string_view caller,
                                 const HttpRequest& request);

}  // namespace damasktack

#endif  // PROXY_REQUEST_DIGEST_H_
