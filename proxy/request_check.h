#ifndef PROXY_REQUEST_CHECK_H_
#define PROXY_REQUEST_CHECK_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "proxy/failure.h"

namespace damasktack {

inline constexpr std::string_view kEndOfHead = "\r\n\r\n";
// More header lines than any legitimate client sends, yet few enough to check
// on every call.
inline constexpr std::size_t kMaxRequestHeaders = 100;
inline constexpr std::size_t kMaxIdempotencyKeyLength = 255;

// Checks the raw head of a request, from its first byte to the empty line,
// before any parser interprets it. Returns null if the head is accepted.
//
// If two servers in a chain split the same bytes into different requests, a
// caller can hide a request inside another caller's connection (request
// smuggling); the symptom is a caller that gets an answer to a request that it
// never sent. The check accepts only heads that all HTTP/1.1 parsers read in
// the same way: either one plain length or only `chunked`, no folded lines, no
// control characters, exactly one Host, and a path without dot segments.
std::optional<Failure> CheckRequestHead(std::string_view head);

// Checks a head that is still arriving: refuses bytes that cannot become an
// accepted head, so that the sender does not have to wait for a timeout.
std::optional<Failure> CheckPartialHead(std::string_view bytes);

// Returns the normalised path that the contracts' rules are matched against,
// for a target that CheckRequestHead accepted: without the query, escapes
// decoded, repeated '/' collapsed. Otherwise an endpoint that normalises paths
// would run `/%63ut` or `//cut` as `/cut`, while the rule that forbids
// repeating `/cut` would not match.
std::string PathForRules(std::string_view target);

}  // namespace damasktack

#endif  // PROXY_REQUEST_CHECK_H_
