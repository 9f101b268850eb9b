#ifndef TESTS_PROXY_EXCHANGE_FIXTURE_H_
#define TESTS_PROXY_EXCHANGE_FIXTURE_H_

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "platform/kv_names.h"
#include "proxy/endpoint_exchange.h"
#include "raw_peer.h"

namespace damasktack {

constexpr auto kCallIdName = "X-Damasktack-Request-Id";

// Exchanges with one endpoint, one after the other, on one thread.
class ExchangeFixture {
 public:
  explicit ExchangeFixture(const RawEndpoint& endpoint,
                           MemoryBudget* memory = nullptr)
      : pool_(std::chrono::seconds(4), memory) {
    target_.address = {"127.0.0.1", endpoint.port()};
    target_.connections = 8;
    target_.id = EndpointId("i-0");
  }

  enum class Kind { kSafe, kUnsafe, kProbe };

  // Runs one exchange to its end.
  ExchangeResult Send(Kind kind,
                      const std::string& call,
                      const std::string& body = "",
                      Duration timeout = std::chrono::seconds(2),
                      std::vector<ConnectionId> avoided = {}) {
    const auto exchange = std::make_shared<EndpointExchange>(
        context_.get_executor(), pool_, target_, ExchangeLimits{}, names_);
    HttpRequest request(
        kind == Kind::kUnsafe ? http::verb::post : http::verb::get, "/x", 11);
    request.body() = body;
    if (!call.empty()) {
      request.set(kCallIdName, call);
    }
    request.prepare_payload();
    if (kind == Kind::kUnsafe) {
      exchange->RequireRecentConnection();
    }
    if (kind == Kind::kProbe) {
      exchange->MarkAsProbe();
    }
    exchange->AvoidConnections(std::move(avoided));
    ExchangeResult result;
    asio::co_spawn(context_,
                   exchange->Run(request, Clock::now() + timeout, call),
                   [&](const std::exception_ptr&, ExchangeResult it) {
                     result = std::move(it);
                   });
    context_.restart();
    context_.run();
    return result;
  }

 private:
  const ProtocolNames names_ = KvProtocolNames();
  asio::io_context context_;
  EndpointPool pool_;
  EndpointTarget target_;
};

}  // namespace damasktack

#endif  // TESTS_PROXY_EXCHANGE_FIXTURE_H_
