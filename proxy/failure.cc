#include "proxy/failure.h"

#include <array>
#include <utility>

#include "core/json_reader.h"
#include "proxy/header_rewrite.h"

namespace damasktack {

namespace {

using std::chrono::seconds;

struct Row {
  FailureKind kind;
  std::string_view name;
  http::status status;
  std::string_view remedy;
  // Zero if a retry of the same request cannot succeed.
  seconds retry_after;
};

constexpr std::array<Row, kFailureKindCount> kRows = {{
    {FailureKind::kBadRequest, "bad-request", http::status::bad_request,
     "send a well-formed HTTP/1.1 request", seconds(0)},
    {FailureKind::kRequestTimeout, "request-timeout",
     http::status::request_timeout,
     "send the whole request without long pauses", seconds(1)},
    {FailureKind::kIdleTimeout, "idle-timeout", http::status::request_timeout,
     "send the request again on a new connection", seconds(1)},
    {FailureKind::kHeadTooLarge, "headers-too-large",
     http::status::request_header_fields_too_large,
     "send fewer or shorter headers", seconds(0)},
    {FailureKind::kBodyTooLarge, "body-too-large",
     http::status::payload_too_large,
     "send a smaller body, or ask the operator about request_body_bytes",
     seconds(0)},
    {FailureKind::kNotSupported, "not-supported", http::status::not_implemented,
     "send the body with Content-Length or with chunked as the only coding",
     seconds(0)},
    {FailureKind::kVersion, "version", http::status::http_version_not_supported,
     "use HTTP/1.1 or HTTP/1.0", seconds(0)},
    {FailureKind::kExpectation, "expectation", http::status::expectation_failed,
     "expect nothing but 100-continue", seconds(0)},
    {FailureKind::kTooManyConnections, "too-many-connections",
     http::status::service_unavailable,
     "reuse connections, or try again after the time in Retry-After",
     seconds(1)},
    {FailureKind::kMemoryShort, "memory-short",
     http::status::service_unavailable,
     "try again after the time in Retry-After, if possible through another "
     "entry host",
     seconds(1)},
    {FailureKind::kUnknownCustomer, "unknown-customer",
     http::status::unauthorized, "send the key of a contract in Damasktack-Key",
     seconds(0)},
    {FailureKind::kNotInContract, "not-in-contract", http::status::forbidden,
     "check method and path against the contract's requests", seconds(0)},
    {FailureKind::kNoRoute, "no-route", http::status::not_found,
     "check host and path against the published routes", seconds(0)},
    {FailureKind::kTooDeep, "too-deep", http::status::loop_detected,
     "look for services that call each other in a ring", seconds(0)},
    {FailureKind::kDeadline, "deadline", http::status::gateway_timeout,
     "allow more time in Damasktack-Deadline-Ms or try again later",
     seconds(1)},
    {FailureKind::kShed, "shed", http::status::service_unavailable,
     "try again after the time in Retry-After", seconds(1)},
    {FailureKind::kQueueFull, "queue-full", http::status::service_unavailable,
     "try again after the time in Retry-After", seconds(1)},
    {FailureKind::kNoEndpoint, "no-endpoint", http::status::service_unavailable,
     "try again; if it goes on, the service has no usable endpoint",
     seconds(1)},
    {FailureKind::kLimit, "limit", http::status::too_many_requests,
     "send fewer calls or ask the operator for a larger contract", seconds(1)},
    {FailureKind::kStopping, "stopping", http::status::service_unavailable,
     "try again on a new connection", seconds(1)},
    {FailureKind::kNotCurrent, "not-current", http::status::service_unavailable,
     "try again, if possible through another entry host", seconds(1)},
    {FailureKind::kKeyReused, "key-reused", http::status::unprocessable_entity,
     "use a new Idempotency-Key for each request", seconds(0)},
    {FailureKind::kKeyInProgress, "key-in-progress", http::status::conflict,
     "wait, then send the same request under the same Idempotency-Key",
     seconds(1)},
    {FailureKind::kKeyAlreadyRan, "key-already-ran", http::status::conflict,
     "the request has run; ask the service for its result", seconds(0)},
    {FailureKind::kClaimUnavailable, "claim-unavailable",
     http::status::service_unavailable,
     "send the same request again under the same Idempotency-Key", seconds(1)},
    {FailureKind::kQuarantined, "quarantined",
     http::status::service_unavailable,
     "endpoints ended each time they ran this request: have its service "
     "mended, "
     "and try again after the time in Retry-After",
     seconds(60)},
    {FailureKind::kNotConnected, "not-connected",
     http::status::service_unavailable,
     "try again after the time in Retry-After", seconds(1)},
    {FailureKind::kBroken, "broken", http::status::bad_gateway,
     "the request may have run; ask the service before repeating it",
     seconds(0)},
    {FailureKind::kTimedOut, "timed-out", http::status::gateway_timeout,
     "the request may have run; ask the service before repeating it",
     seconds(0)},
    {FailureKind::kCancelled, "cancelled", http::status::bad_gateway,
     "the request may have run; ask the service before repeating it",
     seconds(0)},
    {FailureKind::kUnreachable, "unreachable",
     http::status::service_unavailable,
     "try again, if possible through another entry host", seconds(1)},
    {FailureKind::kRelayRefused, "relay-refused",
     http::status::service_unavailable,
     "relay the call to another host; check that all hosts have the same fleet "
     "key",
     seconds(1)},
    {FailureKind::kInternal, "internal", http::status::internal_server_error,
     "the request may have run; ask the service before repeating it",
     seconds(0)},
}};

constexpr bool RowsAreInOrder() {
  for (std::size_t n = 0; n < kRows.size(); ++n) {
    if (kRows[n].kind != static_cast<FailureKind>(n)) {
      return false;
    }
  }
  return true;
}
static_assert(RowsAreInOrder(), "list the rows in the order of FailureKind");

const Row& RowOf(FailureKind kind) {
  return kRows[static_cast<std::size_t>(kind)];
}

std::string FormatRetryAfter(Duration wait, const ProtocolNames& names) {
  if (!names.fractional_retry_after) {
    return std::to_string(std::chrono::ceil<seconds>(wait).count());
  }
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(wait).count();
  constexpr std::int64_t kMsInSecond = 1000;
  std::string rest = std::to_string(ms % kMsInSecond);
  rest.insert(0, 3 - rest.size(), '0');
  return std::to_string(ms / kMsInSecond) + "." + rest;
}

}  // namespace

std::string_view ToString(FailureKind kind) {
  return RowOf(kind).name;
}

Failure MakeFailure(FailureKind kind, std::string found) {
  const seconds wait = RowOf(kind).retry_after;
  Failure failure{kind, std::move(found), std::nullopt};
  if (wait.count() > 0) {
    failure.retry_after = wait;
  }
  return failure;
}

FailureKind KindOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kDeadline:
      return FailureKind::kDeadline;
    case Refusal::kQueueFull:
      return FailureKind::kQueueFull;
    case Refusal::kNoEndpoint:
      return FailureKind::kNoEndpoint;
    case Refusal::kLimit:
      return FailureKind::kLimit;
    case Refusal::kStopping:
      return FailureKind::kStopping;
    case Refusal::kUnreachable:
      return FailureKind::kUnreachable;
    case Refusal::kNone:
    case Refusal::kShed:
      break;
  }
  return FailureKind::kShed;
}

FailureKind KindOf(SendResult result) {
  switch (result) {
    case SendResult::kShed:
      return FailureKind::kShed;
    case SendResult::kNotConnected:
    case SendResult::kMisdirected:
      return FailureKind::kNotConnected;
    case SendResult::kTimedOut:
      return FailureKind::kTimedOut;
    case SendResult::kCancelled:
      return FailureKind::kCancelled;
    default:
      return FailureKind::kBroken;
  }
}

HttpResponse RenderFailure(const Failure& failure,
                           Outcome outcome,
                           const CallId& call,
                           const ProtocolNames& names) {
  const Row& row = RowOf(failure.kind);
  Json json{{"kind", row.name},
            {"remedy", row.remedy},
            {"outcome", ToString(outcome)}};
  if (!failure.found.empty()) {
    json["found"] = failure.found;
  }
  HttpResponse response(row.status, 11);
  response.set(http::field::content_type, "application/json");
  SetNamed(response, names.outcome, ToString(outcome));
  if (!call.empty()) {
    json["call"] = call.text();
    SetNamed(response, names.call, call.text());
  }
  if (failure.retry_after) {
    response.set(http::field::retry_after,
                 FormatRetryAfter(*failure.retry_after, names));
  }
  response.body() =
      json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  return response;
}

}  // namespace damasktack
