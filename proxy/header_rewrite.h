#ifndef PROXY_HEADER_REWRITE_H_
#define PROXY_HEADER_REWRITE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"
#include "core/json_reader.h"
#include "proxy/http_types.h"

namespace damasktack {

// A number in a header; null where it is absent or not all digits.
std::optional<std::int64_t> ReadNumber(const http::fields& fields,
                                       std::string_view name);

// Makes a caller's request fit to be sent on: without the headers that concern
// its own connection only, and without any of damasktack's that the caller
// wrote. The customer's key never reaches an endpoint.
void PrepareForEndpoint(HttpRequest& request,
                        const CallId& call,
                        std::int64_t depth,
                        const ProtocolNames& names);

// The same for an endpoint's answer; `for_head` keeps Content-Length.
void PrepareForCaller(HttpResponse& answer,
                      bool for_head,
                      const ProtocolNames& names);

// Sets a header that the deployment may not have.
void SetNamed(http::fields& fields,
              const std::string& name,
              std::string_view value);

}  // namespace damasktack

#endif  // PROXY_HEADER_REWRITE_H_
