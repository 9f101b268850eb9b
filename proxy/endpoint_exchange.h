#ifndef PROXY_ENDPOINT_EXCHANGE_H_
#define PROXY_ENDPOINT_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "core/time.h"
#include "policy/call.h"
#include "policy/endpoint_report.h"
#include "policy/endpoint_signals.h"
#include "proxy/endpoint_pool.h"
#include "proxy/http_types.h"

namespace damasktack {

struct ExchangeLimits {
  std::uint64_t answer_bytes = 8U << 20U;
  std::uint32_t answer_header_bytes = 16U << 10U;
  Duration connect_timeout = std::chrono::milliseconds(250);
};

struct ExchangeResult {
  SendResult result = SendResult::kNotConnected;
  // Whether any byte of the request was handed to the kernel. Without one the
  // request surely did not run, whatever ended the exchange.
  bool wrote = false;
  // Present for kAnswered, kFailed and kShed.
  std::optional<HttpResponse> answer;
  std::optional<EndpointReport> report;
  std::optional<EndpointSignals> signals;
  Duration took{};
  // Bytes sent and received.
  std::uint64_t bytes = 0;
};

// One send of one request to one endpoint, on one I/O thread.
class EndpointExchange : public std::enable_shared_from_this<EndpointExchange> {
 public:
  EndpointExchange(asio::any_io_executor executor,
                   EndpointPool& pool,
                   EndpointTarget target,
                   ExchangeLimits limits,
                   const ProtocolNames& names);

  // Sends `request` and reads the whole answer, or ends by `deadline`. Where
  // `expected_call` is not empty the answer must repeat it.
  asio::awaitable<ExchangeResult> Run(const HttpRequest& request,
                                      TimePoint deadline,
                                      std::string expected_call);

  // For a call that may run once only. An endpoint may have dropped a
  // connection that was idle without a word, and the outcome of what is sent on
  // it next is unknown; one that answered a moment ago is hardly ever dropped.
  void UseYoungConnection() { young_only_ = true; }

  // Ends the exchange now by closing its connection, which is how an endpoint
  // learns of a cancellation. Does nothing after Run has ended.
  void Cancel();

 private:
  asio::awaitable<bool> Connect();
  asio::awaitable<bool> Send(const HttpRequest& request);
  asio::awaitable<std::optional<HttpResponse>> ReadAnswer(bool to_head);
  // Reads on past answers that belong to other calls.
  asio::awaitable<std::optional<HttpResponse>> ReadOwnAnswer(
      bool to_head,
      const std::string& expected_call);
  bool EndIsKnown(const HttpResponse& answer, bool to_head) const;
  std::optional<EndpointReport> ReadReport(const HttpResponse& answer) const;
  asio::awaitable<SendResult> Transfer(const HttpRequest& request,
                                       const std::string& expected_call,
                                       ExchangeResult& out);
  bool IsFromAnother(const HttpResponse& answer) const;
  SendResult Judge(const HttpResponse& answer) const;
  SendResult ResultOf(SendResult result, bool has_answer) const;
  void StartTimer(TimePoint deadline);
  void WatchForEarlyAnswer();
  void Abort(SendResult reason);
  void CloseConnection();
  void GiveBackConnection(bool draining);

  EndpointPool& pool_;
  const EndpointTarget target_;
  const ExchangeLimits limits_;
  const ProtocolNames& names_;
  Tcp::socket socket_;
  beast::flat_buffer buf_;
  asio::steady_timer timer_;
  TimePoint started_at_;
  TimePoint deadline_;
  std::optional<SendResult> aborted_;
  // How long the endpoint keeps the connection unused, where it said so.
  std::optional<Duration> stated_idle_;
  std::uint64_t bytes_ = 0;
  bool wrote_ = false;
  bool wrote_all_ = false;
  bool writing_ = false;
  bool reusable_ = false;
  bool young_only_ = false;
};

}  // namespace damasktack

#endif  // PROXY_ENDPOINT_EXCHANGE_H_
