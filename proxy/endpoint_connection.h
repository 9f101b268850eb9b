#ifndef PROXY_ENDPOINT_CONNECTION_H_
#define PROXY_ENDPOINT_CONNECTION_H_

#include <cstdint>

#include "core/memory_budget.h"
#include "proxy/answer_matcher.h"
#include "proxy/http_types.h"
#include "proxy/metered_buffer.h"

namespace damasktack {

// Identifies a connection to an endpoint within this process; later connections
// have larger ids, and 0 means none.
using ConnectionId = std::uint64_t;

// A connection to an endpoint with its unread input and what is known of the
// answers on it.
class EndpointConnection {
 public:
  // Unread input is taken from `memory`; null means no limit but that of the
  // connection.
  explicit EndpointConnection(Tcp::socket socket,
                              MemoryBudget* memory = nullptr);

  ConnectionId id() const { return id_; }
  Tcp::socket& socket() { return socket_; }
  MeteredBuffer& buffer() { return buf_; }
  AnswerMatcher& answers() { return answers_; }
  const AnswerMatcher& answers() const { return answers_; }

  // Whether a request may be written: no answer is outstanding and nothing can
  // be read. Unsolicited bytes would be taken for the answer to the next call,
  // and on a connection that the endpoint has closed that call's outcome would
  // be unknown. Both make the socket readable.
  bool IsReady();

 private:
  ConnectionId id_;
  Tcp::socket socket_;
  MeteredBuffer buf_;
  AnswerMatcher answers_;
};

}  // namespace damasktack

#endif  // PROXY_ENDPOINT_CONNECTION_H_
