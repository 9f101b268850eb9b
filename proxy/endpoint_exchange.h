#ifndef PROXY_ENDPOINT_EXCHANGE_H_
#define PROXY_ENDPOINT_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/memory_account.h"
#include "core/tcp_liveness.h"
#include "core/time.h"
#include "policy/call.h"
#include "policy/endpoint_report.h"
#include "policy/endpoint_signals.h"
#include "proxy/endpoint_pool.h"
#include "proxy/http_types.h"

namespace damasktack {

// Limits of one exchange with an endpoint.
struct ExchangeLimits {
  std::uint64_t answer_bytes = 8U << 20U;
  std::uint32_t answer_header_bytes = 16U << 10U;
  Duration connect_timeout = std::chrono::milliseconds(250);
};

// An answer that was read and not taken for the request's own.
struct StrayAnswer {
  AnswerMatch match = AnswerMatch::kOther;
  unsigned status = 0;
  // The call that the answer names; empty if it names none.
  std::string call;
  bool is_refusal = false;
};

// Result of one exchange with an endpoint.
struct ExchangeResult {
  SendResult result = SendResult::kNotConnected;
  // Whether any byte of the request was handed to the kernel. If not, the
  // request certainly did not run, whatever ended the exchange.
  bool wrote = false;
  // Present for kAnswered, kFailed and kShed.
  std::optional<HttpResponse> answer;
  std::optional<EndpointReport> report;
  std::optional<EndpointSignals> signals;
  Duration took{};
  // Total bytes sent and received.
  std::uint64_t bytes = 0;
  // The connection used; 0 if none was established.
  ConnectionId connection = 0;
  // In the order in which they were read.
  std::vector<StrayAnswer> strays;
  // What the answer holds.
  MemoryAccount memory = {};
};

// Sends one request to one endpoint once and reads the answer. Used on one I/O
// thread only.
class EndpointExchange : public std::enable_shared_from_this<EndpointExchange> {
 public:
  EndpointExchange(asio::any_io_executor executor,
                   EndpointPool& pool,
                   EndpointTarget target,
                   ExchangeLimits limits,
                   const ProtocolNames& names);

  // Sends `request` and reads the complete answer; gives up at `deadline`. If
  // `expected_call` is not empty, the answer must repeat this call id.
  asio::awaitable<ExchangeResult> Run(const HttpRequest& request,
                                      TimePoint deadline,
                                      std::string expected_call);

  // Marks a call that must not run twice. Allows only a new or a recently used
  // connection: an endpoint may have dropped an idle connection without closing
  // it, and then the outcome of the next request on it is unknown; a connection
  // that was used a moment ago is very unlikely to be dropped.
  void RequireRecentConnection() { needs_.max_idle = kRecentUse; }
  // Allows only a new connection, to learn whether the endpoint can be reached.
  void RequireNewConnection() { needs_.max_idle = Duration::zero(); }
  // Excludes these connections. Sends of one call must not share a connection,
  // because a late copy of the first answer would be taken for the second.
  void AvoidConnections(std::vector<ConnectionId> connections) {
    needs_.avoided = std::move(connections);
  }
  // The request is a probe: answers that name a call are not its own.
  void MarkAsProbe() {
    is_probe_ = true;
    needs_.prefers_uncertain = true;
  }

  // Aborts the exchange by closing its connection, which tells the endpoint
  // that the call is cancelled. Has no effect after Run has returned.
  void Cancel();

 private:
  using AnswerParser = http::response_parser<http::string_body>;
  class AnswerRoom;

  // Maximum idle time of a connection that counts as recently used.
  static constexpr Duration kRecentUse = std::chrono::milliseconds(1000);

  asio::awaitable<bool> Connect();
  ExpectedAnswer Expect(std::string expected_call) const;
  asio::awaitable<void> Write(const HttpRequest& request);
  void StopWriting();
  // Writes the request and reads its answer. Returns null if no complete answer
  // arrived.
  asio::awaitable<std::optional<HttpResponse>> SendAndRead(
      const HttpRequest& request);
  // As above for a request that may block on the endpoint while it is written.
  asio::awaitable<std::optional<HttpResponse>> SendLongAndRead(
      const HttpRequest& request);
  asio::awaitable<std::optional<HttpResponse>> ReadAnswer(bool to_head);
  // Reads one answer, which may be an interim one. Returns false if it did not
  // arrive whole.
  asio::awaitable<bool> ReadInto(AnswerParser& parser);
  asio::awaitable<bool> ReadHead(AnswerParser& parser);
  // Reads answers, skipping those that belong to other requests.
  asio::awaitable<std::optional<HttpResponse>> ReadOwnAnswer(bool to_head);
  // Whether the endpoint's kernel has the whole request, as far as this is
  // known.
  bool HasDeliveredRequest();
  bool HasAcceptableEnd(const HttpResponse& answer, bool to_head) const;
  std::optional<EndpointReport> ReadReport(const HttpResponse& answer) const;
  asio::awaitable<SendResult> Transfer(const HttpRequest& request,
                                       ExchangeResult& out);
  AnswerTraits TraitsOf(const HttpResponse& answer) const;
  bool IsMisdirected(const HttpResponse& answer) const;
  SendResult ClassifyAnswer(const HttpResponse& answer) const;
  SendResult FinalResult(SendResult result, bool has_answer) const;
  void StartTimer(TimePoint deadline);
  // Checks at intervals whether the peer still acknowledges a long request.
  void WatchPeer();
  void CheckPeer();
  void RestoreTimeout();
  void Abort(SendResult reason);
  void CloseConnection();
  void ReleaseConnection(bool draining);

  EndpointPool& pool_;
  const EndpointTarget target_;
  const ExchangeLimits limits_;
  const ProtocolNames& names_;
  asio::any_io_executor executor_;
  // Null before the connection is chosen and after it was returned to the pool.
  std::optional<EndpointConnection> connection_;
  asio::steady_timer timer_;
  asio::steady_timer peer_check_;
  SilenceDetector silence_;
  // Whether the kernel's timeout for unacknowledged data is off.
  bool is_timeout_off_ = false;
  TimePoint started_at_;
  TimePoint deadline_;
  std::optional<SendResult> aborted_;
  // The endpoint's idle timeout for the connection, if it stated one.
  std::optional<Duration> stated_idle_;
  std::uint64_t bytes_ = 0;
  bool wrote_ = false;
  bool wrote_all_ = false;
  bool writing_ = false;
  bool reusable_ = false;
  bool is_probe_ = false;
  ConnectionNeeds needs_;
  std::vector<StrayAnswer> strays_;
  // What the answer that was read last holds.
  MemoryAccount answer_memory_;
};

}  // namespace damasktack

#endif  // PROXY_ENDPOINT_EXCHANGE_H_
