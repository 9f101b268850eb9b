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

// Returns the number in a header, or null if it is absent or not all digits.
std::optional<std::int64_t> ReadNumber(const http::fields& fields,
                                       std::string_view name);

// Prepares a caller's request for an endpoint: removes the hop-by-hop headers
// and all damasktack headers that the caller sent, then sets damasktack's own.
// The customer's key never reaches an endpoint.
void PrepareForEndpoint(HttpRequest& request,
                        const CallId& call,
                        std::int64_t depth,
                        const ProtocolNames& names);

// Prepares an endpoint's answer for the caller by removing hop-by-hop and load
// headers. Content-Length is kept only if `for_head` is set.
void PrepareForCaller(HttpResponse& answer,
                      bool for_head,
                      const ProtocolNames& names);

// Sets a header, unless its name is empty because the deployment does not use
// it.
void SetNamed(http::fields& fields,
              const std::string& name,
              std::string_view value);

}  // namespace damasktack

#endif  // PROXY_HEADER_REWRITE_H_
