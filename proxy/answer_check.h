#ifndef PROXY_ANSWER_CHECK_H_
#define PROXY_ANSWER_CHECK_H_

#include <string_view>

namespace damasktack {

// Checks what an endpoint or peer sends as an answer.

// Whether each line of a raw head after the first, up to the empty one, has a
// field whose name is a token. A line that begins with a blank continues the
// field before it for some parsers and not for others, so it has none.
bool HasPlainFields(std::string_view head);

// Whether a status ends a request: from 200 to 599. Any other is none of HTTP,
// or announces a further answer.
bool IsFinalStatus(unsigned status);
// Whether a further answer to the same request follows. Not for 101, after
// which the connection speaks another protocol.
bool IsInterimStatus(unsigned status);

}  // namespace damasktack

#endif  // PROXY_ANSWER_CHECK_H_
