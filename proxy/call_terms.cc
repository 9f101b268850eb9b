#include "proxy/call_terms.h"

#include <algorithm>

#include "proxy/header_rewrite.h"

namespace damasktack {

namespace {

constexpr std::int64_t kMostAttempts = 1000;
// An answer has to reach its caller before the caller's deadline, which began
// before the request arrived: both ways, with some room.
constexpr std::chrono::milliseconds kWayBack(10);

void FillContract(const Contract& contract, CallOffer& offer) {
  offer.customer = contract.customer;
  offer.share = contract.share;
  offer.overload_policy = contract.overload_policy;
  offer.waiting_limit = contract.limits.waiting_per_host;
  offer.retry_percent = contract.retry_percent;
}

}  // namespace

Duration AskedTime(const HttpRequest& request, const ProtocolNames& names) {
  constexpr std::int64_t kMostMs = 24LL * 3600 * 1000;
  const auto asked = ReadNumber(request, names.deadline).value_or(kMostMs);
  return std::chrono::milliseconds(std::min(asked, kMostMs));
}

std::int64_t AttemptsBefore(const HttpRequest& request,
                            const ProtocolNames& names) {
  const auto attempt = ReadNumber(request, names.attempt).value_or(1);
  return std::clamp<std::int64_t>(attempt, 1, kMostAttempts) - 1;
}

void FillOffer(const Contract& contract,
               const RequestClass& request_class,
               const HttpRequest& request,
               const ProtocolNames& names,
               CallOffer& offer) {
  FillContract(contract, offer);
  offer.urgency = request_class.urgency;
  offer.idempotent = request_class.idempotent;
  // A repeat by an earlier hop keeps its number, so that each hop after it
  // knows not to repeat it once more.
  offer.is_repeat = AttemptsBefore(request, names) > 0;
  offer.deadline = offer.arrival +
                   std::min(request_class.deadline, AskedTime(request, names));
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
  const Duration asked = AskedTime(request, names);
  offer.asked = asked;
  offer.deadline = offer.arrival + std::min(route.timeout, asked - kWayBack);
  offer.on_time_until =
      std::min(offer.deadline, offer.arrival + route.latency_objective);
}

}  // namespace damasktack
