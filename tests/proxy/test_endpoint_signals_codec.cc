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

TEST_CASE("a stated limit is a decimal number that is not negative") {
  CHECK(Read("Endpoint-Limit", "1.5").rate_limit == 1.5);
  CHECK(Read("endpoint-limit", "20").rate_limit == 20);
  CHECK(Read("Endpoint-Limit", "0").rate_limit == 0);
  for (const char* bad :
       {"", "-1", "nan", "inf", "1e999", "two", "1,5", "1 2", "0x10"}) {
    CAPTURE(std::string(bad));
    CHECK_FALSE(Read("Endpoint-Limit", bad).rate_limit);
  }
}

TEST_CASE("on a platform with a store the limit has either name") {
  const ProtocolNames names = KvProtocolNames();
  CHECK(Read("X-Damasktack-Server-Limit", "1.2", names).rate_limit == 1.2);
  CHECK(Read("Server-Limit", "1.2", names).rate_limit == 1.2);
  CHECK_FALSE(Read("Endpoint-Limit", "1.2", names).rate_limit);
}

}  // namespace
}  // namespace damasktack
