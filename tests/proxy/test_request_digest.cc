#include "proxy/request_digest.h"

#include <doctest/doctest.h>

namespace damasktack {
namespace {

HttpRequest Request(std::string_view target, std::string_view body = "") {
  HttpRequest request(http::verb::get, ToBeast(target), 11);
  request.body() = body;
  return request;
}

TEST_CASE("attempts of one request have one fingerprint") {
  HttpRequest first = Request("/a?x=1", "body");
  HttpRequest second = Request("/a?x=1", "body");
  first.set("X-Damasktack-Request-Id", "1");
  second.set("X-Damasktack-Request-Id", "2");
  second.set("X-Damasktack-Deadline-Ms", "300");
  CHECK(FingerprintOf("c", first) == FingerprintOf("c", second));
}

TEST_CASE("requests that differ have different fingerprints") {
  const RequestFingerprint one = FingerprintOf("c", Request("/a", "body"));
  HttpRequest other_method = Request("/a", "body");
  other_method.method(http::verb::post);
  HttpRequest other_user = Request("/a", "body");
  other_user.set(http::field::cookie, "session=2");
  CHECK(FingerprintOf("d", Request("/a", "body")) != one);
  CHECK(FingerprintOf("c", Request("/a?", "body")) != one);
  CHECK(FingerprintOf("c", Request("/a", "Body")) != one);
  CHECK(FingerprintOf("c", other_method) != one);
  CHECK(FingerprintOf("c", other_user) != one);
}

}  // namespace
}  // namespace damasktack
