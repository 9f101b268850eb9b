#ifndef PROXY_HTTP_TYPES_H_
#define PROXY_HTTP_TYPES_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <string_view>

#include "contract/protocol_names.h"

namespace damasktack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// Maximum number of unread bytes that a connection holds beside the head of a
// message. Bounds what lies between the parts of a body, such as chunk sizes,
// chunk extensions and trailers: neither the limit on the head nor the one on
// the body counts them.
inline constexpr std::size_t kMaxUnreadBytes = 64U << 10U;

// Headers that only callers send; contract/protocol_names.h has the others.
inline constexpr std::string_view kKeyHeader = "Damasktack-Key";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

inline beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}
inline std::string_view FromBeast(beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace damasktack

#endif  // PROXY_HTTP_TYPES_H_
