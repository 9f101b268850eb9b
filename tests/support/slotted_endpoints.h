#ifndef TESTS_SUPPORT_SLOTTED_ENDPOINTS_H_
#define TESTS_SUPPORT_SLOTTED_ENDPOINTS_H_

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/time.h"

namespace damasktack {

// Endpoints of both protocols that run calls in a fixed number of slots, in
// order of arrival, and report their load. Served by one thread.
class SlottedEndpoints {
 public:
  static constexpr int kSlots = 4;

  SlottedEndpoints(std::size_t count, Duration call) : call_(call) {
    for (std::size_t n = 0; n < count; ++n) {
      endpoints_.push_back(std::make_unique<Endpoint>(context_));
      endpoints_.back()->id = "i-" + std::to_string(n);
      boost::asio::co_spawn(context_, Accept(*endpoints_.back()),
                            boost::asio::detached);
    }
    thread_ = std::thread([this] { context_.run(); });
  }
  ~SlottedEndpoints() {
    context_.stop();
    thread_.join();
  }
  SlottedEndpoints(const SlottedEndpoints&) = delete;
  SlottedEndpoints& operator=(const SlottedEndpoints&) = delete;

  std::vector<std::uint16_t> ports() const {
    std::vector<std::uint16_t> ports;
    for (const auto& it : endpoints_) {
      ports.push_back(it->acceptor.local_endpoint().port());
    }
    return ports;
  }

 private:
  using Tcp = boost::asio::ip::tcp;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  struct Endpoint {
    explicit Endpoint(boost::asio::io_context& context)
        : acceptor(context,
                   Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {}
    std::string id;
    Tcp::acceptor acceptor;
    std::vector<TimePoint> free_at{kSlots};
    int calls = 0;
  };

  boost::asio::awaitable<void> Accept(Endpoint& endpoint) {
    while (true) {
      boost::system::error_code ec;
      const auto socket = std::make_shared<Tcp::socket>(context_);
      co_await endpoint.acceptor.async_accept(
          *socket, boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      boost::asio::co_spawn(context_, Serve(endpoint, socket),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(Endpoint& endpoint,
                                     std::shared_ptr<Tcp::socket> socket) {
    boost::beast::flat_buffer buf;
    boost::system::error_code ec;
    boost::asio::steady_timer timer(context_);
    while (!ec) {
      Request request;
      co_await boost::beast::http::async_read(
          *socket, buf, request,
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
      if (ec) {
        co_return;
      }
      const bool is_probe =
          request.target() == "/load" || request.target() == "/health";
      if (!is_probe) {
        const auto slot = std::ranges::min_element(endpoint.free_at);
        *slot = std::max(*slot, Clock::now()) + call_;
        ++endpoint.calls;
        timer.expires_at(*slot);
        co_await timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ec));
        --endpoint.calls;
      }
      Response answer = Answer(endpoint, request);
      co_await boost::beast::http::async_write(
          *socket, answer,
          boost::asio::redirect_error(boost::asio::use_awaitable, ec));
    }
  }

  static Response Answer(const Endpoint& endpoint, const Request& request) {
    Response answer(boost::beast::http::status::ok, 11);
    const std::string running =
        std::to_string(std::min(endpoint.calls, kSlots));
    const std::string queued =
        std::to_string(std::max(endpoint.calls - kSlots, 0));
    const std::string slots = std::to_string(kSlots);
    answer.set("X-Damasktack-Server-Load",
               running + "," + queued + "," + slots + ",100");
    answer.set("X-Damasktack-Instance-Id", endpoint.id);
    answer.set("Endpoint-Load", "in_flight=" + running + ", queued=" + queued +
                                    ", slots=" + slots + ", mode=serving");
    for (const char* it : {"X-Damasktack-Request-Id", "Damasktack-Call"}) {
      if (request.count(it) > 0) {
        answer.set(it, request[it]);
      }
    }
    answer.prepare_payload();
    return answer;
  }

  const Duration call_;
  boost::asio::io_context context_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::thread thread_;
};

}  // namespace damasktack

#endif  // TESTS_SUPPORT_SLOTTED_ENDPOINTS_H_
