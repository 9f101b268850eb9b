#ifndef TESTS_SUPPORT_SCRIPTED_ENDPOINT_H_
#define TESTS_SUPPORT_SCRIPTED_ENDPOINT_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/time.h"

namespace damasktack {

// An endpoint that answers calls according to a script and records when they
// arrived. Responses to probes, and to calls without a script, have status 200
// and no load.
class ScriptedEndpoint {
 public:
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;
  // Modifies the response to one call; runs on the endpoint's thread.
  using Script = std::function<void(Response& answer)>;

  // `call_header` is echoed in responses.
  explicit ScriptedEndpoint(std::string call_header)
      : call_header_(std::move(call_header)) {
    port_ = acceptor_.local_endpoint().port();
    boost::asio::co_spawn(context_, Accept(), boost::asio::detached);
    thread_ = std::thread([this] { context_.run(); });
  }
  ~ScriptedEndpoint() {
    context_.stop();
    thread_.join();
  }
  ScriptedEndpoint(const ScriptedEndpoint&) = delete;
  ScriptedEndpoint& operator=(const ScriptedEndpoint&) = delete;

  std::uint16_t port() const { return port_; }
  void SetScript(Script script) {
    const std::lock_guard lock(mutex_);
    script_ = std::move(script);
  }
  // Returns the arrival time of each call.
  std::vector<TimePoint> arrivals() const {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Socket = std::shared_ptr<Tcp::socket>;

  boost::asio::awaitable<void> Accept() {
    while (true) {
      boost::system::error_code ec;
      const auto socket = std::make_shared<Tcp::socket>(context_);
      co_await acceptor_.async_accept(
          *socket, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      boost::asio::co_spawn(context_, Serve(socket), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(Socket socket) {
    boost::beast::flat_buffer buf;
    boost::system::error_code ec;
    while (!ec) {
      Request request;
      co_await boost::beast::http::async_read(
          *socket, buf, request,
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      Response answer = Answer(request);
      co_await boost::beast::http::async_write(
          *socket, answer,
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
  }

  Response Answer(const Request& request) {
    Response answer(boost::beast::http::status::ok, 11);
    answer.set("X-Damasktack-Server-Load", "0,0,4,100");
    answer.set("Endpoint-Load", "in_flight=0, queued=0, slots=4, mode=serving");
    if (request.count(call_header_) > 0) {
      answer.set(call_header_, request[call_header_]);
      const std::lock_guard lock(mutex_);
      arrivals_.push_back(Clock::now());
      if (script_) {
        script_(answer);
      }
    }
    answer.prepare_payload();
    return answer;
  }

  const std::string call_header_;
  boost::asio::io_context context_;
  Tcp::acceptor acceptor_{
      context_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  std::uint16_t port_ = 0;
  mutable std::mutex mutex_;
  Script script_;
  std::vector<TimePoint> arrivals_;
  std::thread thread_;
};

using ScriptedEndpoints = std::vector<std::unique_ptr<ScriptedEndpoint>>;

inline ScriptedEndpoints MakeScriptedEndpoints(std::size_t count,
                                               const std::string& call_header) {
  ScriptedEndpoints endpoints;
  for (std::size_t n = 0; n < count; ++n) {
    endpoints.push_back(std::make_unique<ScriptedEndpoint>(call_header));
  }
  return endpoints;
}

}  // namespace damasktack

#endif  // TESTS_SUPPORT_SCRIPTED_ENDPOINT_H_
