#include "proxy/endpoint_signals_codec.h"

#include <doctest/doctest.h>

#include <string>

#include "platform/kv_names.h"

namespace damasktack {
namespace {

EndpointSignals Read(const char* header,
                     const char* value,
                     const ProtocolNames& names = {}) {
  HttpResponse answer(http::status::ok, 11);
  answer.set(header, value);
  return ReadEndpointSignals(answer, names);
}

TEST_CASE("a rate limit is a non-negative decimal number") {
  CHECK(Read("Endpoint-Limit", "1.5").rate_limit == 1.5);
  CHECK(Read("endpoint-limit", "20").rate_limit == 20);
  CHECK(Read("Endpoint-Limit", "0").rate_limit == 0);
  for (const char* bad :
       {"", "-1", "nan", "inf", "1e999", "two", "1,5", "1 2", "0x10"}) {
    CAPTURE(std::string(bad));
    CHECK_FALSE(Read("Endpoint-Limit", bad).rate_limit);
  }
}

EndpointSignals ReadRetryAfter(http::status status,
                               const char* seconds,
                               bool is_passed_on = false) {
  HttpResponse answer(status, 11);
  answer.set(http::field::retry_after, seconds);
  if (is_passed_on) {
    answer.set(std::string(kOutcomeHeader), "not-run");
  }
  return ReadEndpointSignals(answer, {});
}

TEST_CASE("a refusal with Retry-After requests a pause") {
  using std::chrono::milliseconds;
  const auto unavailable = http::status::service_unavailable;
  CHECK(ReadRetryAfter(unavailable, "3").rest == milliseconds(3000));
  CHECK(ReadRetryAfter(unavailable, "0.25").rest == milliseconds(250));
  CHECK(ReadRetryAfter(http::status::too_many_requests, "1").rest ==
        milliseconds(1000));
  CHECK(ReadRetryAfter(unavailable, "1e18").rest == std::chrono::hours(24));
  CHECK_FALSE(
      ReadRetryAfter(unavailable, "Thu, 03 Dec 2026 10:00:00 GMT").rest);
  CHECK_FALSE(ReadRetryAfter(unavailable, "-1").rest);
  CHECK_FALSE(ReadRetryAfter(http::status::ok, "3").rest);
}

// Guards against pausing an endpoint because of a refusal by a service behind
// it.
TEST_CASE("a refusal that an endpoint passes on requests no pause") {
  CHECK_FALSE(
      ReadRetryAfter(http::status::service_unavailable, "3", true).rest);
}

TEST_CASE("an endpoint announces its shutdown in a header") {
  const ProtocolNames names = KvProtocolNames();
  CHECK(Read("X-Damasktack-Server-Leaving", "1", names).leaving);
  CHECK(Read("Server-Leaving", "1", names).leaving);
  CHECK_FALSE(Read("Server-Leaving", "0", names).leaving);
  CHECK_FALSE(Read("Server-Leaving", "1").leaving);
}

TEST_CASE("the timeout of a Keep-Alive header is in seconds") {
  using std::chrono::milliseconds;
  CHECK(ParseKeepAliveTimeout("timeout=5, max=100") == milliseconds(5000));
  CHECK(ParseKeepAliveTimeout("max=3, timeout=1") == milliseconds(1000));
  CHECK_FALSE(ParseKeepAliveTimeout(""));
  CHECK_FALSE(ParseKeepAliveTimeout("max=3"));
  CHECK_FALSE(ParseKeepAliveTimeout("timeout=-1"));
}

TEST_CASE("with the store protocol the limit may have either header name") {
  const ProtocolNames names = KvProtocolNames();
  CHECK(Read("X-Damasktack-Server-Limit", "1.2", names).rate_limit == 1.2);
  CHECK(Read("Server-Limit", "1.2", names).rate_limit == 1.2);
  CHECK_FALSE(Read("Endpoint-Limit", "1.2", names).rate_limit);
}

}  // namespace
}  // namespace damasktack
