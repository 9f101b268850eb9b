#include "proxy/call_parameters.h"

#include <algorithm>

#include "policy/scaled_time.h"
#include "proxy/header_rewrite.h"

namespace damasktack {

namespace {

constexpr std::int64_t kMaxAttempts = 1000;
// The caller's timeout began before the request arrived, and the answer has to
// reach the caller before it ends. Covers the network time in both directions
// with some margin.
constexpr std::chrono::milliseconds kAnswerReturnMargin(10);

void FillContract(const Contract& contract, CallOffer& offer) {
  offer.customer = contract.customer;
  offer.share = contract.share;
  offer.overload_policy = contract.overload_policy;
  offer.waiting_limit = contract.limits.waiting_per_host;
  offer.retry_percent = contract.retry_percent;
}

}  // namespace

Duration RequestedTimeout(const HttpRequest& request,
                          const ProtocolNames& names) {
  constexpr std::int64_t kMaxMs = 24LL * 3600 * 1000;
  const auto asked = ReadNumber(request, names.deadline).value_or(kMaxMs);
  return std::chrono::milliseconds(std::min(asked, kMaxMs));
}

std::int64_t PreviousAttempts(const HttpRequest& request,
                              const ProtocolNames& names) {
  const auto attempt = ReadNumber(request, names.attempt).value_or(1);
  return std::clamp<std::int64_t>(attempt, 1, kMaxAttempts) - 1;
}

void FillOffer(const Contract& contract,
               const RequestClass& request_class,
               const HttpRequest& request,
               const ProtocolNames& names,
               CallOffer& offer) {
  FillContract(contract, offer);
  offer.urgency = request_class.urgency;
  offer.idempotent = request_class.idempotent;
  // The attempt number of an earlier hop's retry is passed on, so that no later
  // hop retries the call once more.
  offer.is_retry = PreviousAttempts(request, names) > 0;
  offer.deadline = offer.arrival + std::min(request_class.deadline,
                                            RequestedTimeout(request, names));
  offer.on_time_until = offer.deadline;
}

void FillOffer(const Route& route,
               const HttpRequest& request,
               const ProtocolNames& names,
               CallOffer& offer) {
  FillContract(route.contract, offer);
  offer.urgency = route.urgency;
  offer.idempotent = route.idempotent;
  offer.attempt_limit = route.attempt_limit;
  offer.allowed_regions = route.allowed_regions;
  const Duration asked = RequestedTimeout(request, names);
  offer.asked = asked;
  offer.deadline =
      offer.arrival + std::min(route.timeout, asked - kAnswerReturnMargin);
  offer.timeout_factor =
      std::chrono::duration<double>(route.timeout) / route.latency_objective;
  offer.on_time_until =
      std::min(offer.deadline, offer.arrival + route.latency_objective);
}

bool MayBeHedged(const Route& route, double timeout_factor) {
  return timeout_factor > 0 && route.idempotent && route.attempt_limit >= 2 &&
         route.timeout >= Scaled(route.latency_objective, timeout_factor);
}

}  // namespace damasktack
