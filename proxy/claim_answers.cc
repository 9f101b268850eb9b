#include "proxy/claim_answers.h"

#include <string>

namespace damasktack {

FailureKind KindOf(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kAlreadyRan:
      return FailureKind::kKeyAlreadyRan;
    case ClaimVerdict::kInProgress:
      return FailureKind::kKeyInProgress;
    case ClaimVerdict::kMismatch:
      return FailureKind::kKeyReused;
    default:
      return FailureKind::kClaimUnavailable;
  }
}

HttpResponse ToHttpResponse(const StoredAnswer& kept) {
  HttpResponse answer(static_cast<http::status>(kept.status), 11);
  answer.set(http::field::content_type, kept.content_type);
  answer.body() = kept.body;
  return answer;
}

std::optional<StoredAnswer> ToKeptAnswer(
    const std::optional<HttpResponse>& answer) {
  if (!answer) {
    return std::nullopt;
  }
  return StoredAnswer{static_cast<int>(answer->result_int()),
                      std::string((*answer)[http::field::content_type]),
                      answer->body()};
}

}  // namespace damasktack
