#ifndef TESTS_SOAK_SLOT_SESSION_H_
#define TESTS_SOAK_SLOT_SESSION_H_

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>

#include "tests/soak/slot_endpoint.h"

namespace damasktack {

// Serves one connection to a SlotEndpoint.
class SlotSession : public std::enable_shared_from_this<SlotSession> {
 public:
  SlotSession(SlotEndpoint& endpoint, boost::asio::ip::tcp::socket socket);

  void Read();
  // Starts to process the request once a slot is free.
  void Run();

 private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  void OnRequest();
  void AnswerProbe();
  void WatchForClose();
  void Reset();
  void Answer(Response answer);
  Response MakeAnswer(boost::beast::http::status status) const;

  enum class State : std::uint8_t { kIdle, kWaiting, kRunning, kClosed };

  SlotEndpoint& endpoint_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer work_;
  boost::beast::flat_buffer buf_;
  Request request_;
  Response answer_;
  State state_ = State::kIdle;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SLOT_SESSION_H_
