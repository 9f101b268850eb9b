#ifndef PROXY_CLAIM_ANSWERS_H_
#define PROXY_CLAIM_ANSWERS_H_

#include <optional>

#include "fleet/claim_gate.h"
#include "proxy/failure.h"
#include "proxy/http_types.h"

namespace damasktack {

// Returns the failure to report to a caller whose claim on an idempotency key
// was not granted.
FailureKind KindOf(ClaimVerdict verdict);

// Converts between an HTTP answer and the stored form of the answer to an
// earlier call under the same key. ToKeptAnswer returns null without an answer.
HttpResponse ToHttpResponse(const StoredAnswer& kept);
std::optional<StoredAnswer> ToKeptAnswer(
    const std::optional<HttpResponse>& answer);

}  // namespace damasktack

#endif  // PROXY_CLAIM_ANSWERS_H_
