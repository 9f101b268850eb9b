#ifndef PROXY_CALL_RESULT_H_
#define PROXY_CALL_RESULT_H_

#include <optional>
#include <utility>

#include "core/memory_account.h"
#include "policy/call.h"
#include "proxy/failure.h"
#include "proxy/http_types.h"

namespace damasktack {

// What the caller of one call is told.
struct CallResult {
  Outcome outcome = Outcome::kNotRun;
  std::optional<HttpResponse> answer;
  // Only used without an answer.
  Failure failure;
  // What the answer holds.
  MemoryAccount memory = {};

  static CallResult NotRun(Failure failure) {
    return {Outcome::kNotRun, std::nullopt, std::move(failure), {}};
  }
  static CallResult Complete(HttpResponse answer) {
    return {Outcome::kComplete, std::move(answer), {}, {}};
  }
};

}  // namespace damasktack

#endif  // PROXY_CALL_RESULT_H_
