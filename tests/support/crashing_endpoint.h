#ifndef TESTS_SUPPORT_CRASHING_ENDPOINT_H_
#define TESTS_SUPPORT_CRASHING_ENDPOINT_H_

#include <atomic>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/time.h"

namespace damasktack {

// An endpoint that answers each request, but behaves like a crashed process
// when it runs one whose target contains "crash": it stops listening and all
// its connections close. It restarts at its address after `down_for`.
class CrashingEndpoint {
 public:
  // `call_header` is echoed in responses.
  CrashingEndpoint(std::string call_header, Duration down_for)
      : call_header_(std::move(call_header)), down_for_(down_for) {
    Listen();
    port_ = acceptor_->local_endpoint().port();
    thread_ = std::thread([this] { Serve(); });
  }
  ~CrashingEndpoint() {
    context_.stop();
    thread_.join();
  }
  CrashingEndpoint(const CrashingEndpoint&) = delete;
  CrashingEndpoint& operator=(const CrashingEndpoint&) = delete;

  std::uint16_t port() const { return port_; }
  int crashes() const { return crashes_; }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;
  // Processing time of a request.
  static constexpr std::chrono::milliseconds kRunTime{2};

  void Listen() {
    const Tcp::endpoint address(boost::asio::ip::address_v4::loopback(), port_);
    acceptor_ = std::make_unique<Tcp::acceptor>(context_, address, true);
  }

  void Serve() {
    boost::asio::co_spawn(context_, Accept(), boost::asio::detached);
    context_.run();
    connections_.clear();
    acceptor_.reset();
  }

  boost::asio::awaitable<void> Accept() {
    while (true) {
      boost::system::error_code ec;
      auto socket = std::make_shared<Tcp::socket>(context_);
      co_await acceptor_->async_accept(
          *socket, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      connections_.push_back(socket);
      boost::asio::co_spawn(context_, Answer(socket), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Answer(std::shared_ptr<Tcp::socket> socket) {
    boost::beast::flat_buffer buf;
    while (true) {
      boost::system::error_code ec;
      Request request;
      co_await boost::beast::http::async_read(
          *socket, buf, request,
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      boost::asio::steady_timer run(context_, kRunTime);
      co_await run.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (request.target().find("crash") != boost::beast::string_view::npos) {
        Crash();
        co_return;
      }
      Response response(boost::beast::http::status::ok, 11);
      response.set(call_header_, request[call_header_]);
      response.set("X-Damasktack-Server-Load", "0,0,4,100");
      response.body() = "ran";
      response.prepare_payload();
      co_await boost::beast::http::async_write(
          *socket, response,
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
    }
  }

  void Crash() {
    if (!acceptor_->is_open()) {
      return;
    }
    ++crashes_;
    acceptor_->close();
    for (const auto& it : connections_) {
      boost::system::error_code ec;
      it->close(ec);
    }
    connections_.clear();
    boost::asio::co_spawn(context_, Restart(), boost::asio::detached);
  }

  boost::asio::awaitable<void> Restart() {
    boost::system::error_code ec;
    boost::asio::steady_timer down(context_, down_for_);
    co_await down.async_wait(
        boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    Listen();
    boost::asio::co_spawn(context_, Accept(), boost::asio::detached);
  }

  const std::string call_header_;
  const Duration down_for_;
  boost::asio::io_context context_;
  std::uint16_t port_ = 0;
  std::unique_ptr<Tcp::acceptor> acceptor_;
  std::vector<std::shared_ptr<Tcp::socket>> connections_;
  std::atomic<int> crashes_ = 0;
  std::thread thread_;
};

}  // namespace damasktack

#endif  // TESTS_SUPPORT_CRASHING_ENDPOINT_H_
