#ifndef PROXY_CLAIM_ANSWERS_H_
#define PROXY_CLAIM_ANSWERS_H_

#include <optional>

#include "fleet/claim_gate.h"
#include "proxy/failure.h"
#include "proxy/http_types.h"

namespace damasktack {

// What a caller is told whose claim on a key was not granted.
FailureKind KindOf(ClaimVerdict verdict);

// The answer of an earlier call under the key, and what is kept of one; null
// without an answer.
HttpResponse AnswerFrom(const KeptAnswer& kept);
std::optional<KeptAnswer> KeptFrom(const std::optional<HttpResponse>& answer);

}  // namespace damasktack

#endif  // PROXY_CLAIM_ANSWERS_H_
