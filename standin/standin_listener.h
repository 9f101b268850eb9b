#ifndef STANDIN_STANDIN_LISTENER_H_
#define STANDIN_STANDIN_LISTENER_H_

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>

#include "standin/standin_loop.h"

namespace damasktack {

// Accepts connections on 127.0.0.1 and hands each to a coroutine.
class StandinListener {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Serve = std::function<boost::asio::awaitable<void>(Socket)>;

  StandinListener(StandinLoop& loop, Serve serve);

  // Port 0 selects a free port. Returns the port, or 0 if it cannot be bound.
  std::uint16_t Open(std::uint16_t port);

  // Close refuses new connections and keeps existing ones; Reopen accepts
  // connections on the same port again. Both must be called on the loop's
  // thread.
  void Close();
  void Reopen();

 private:
  boost::asio::awaitable<void> Accept();
  bool Bind(std::uint16_t port);

  StandinLoop& loop_;
  Serve serve_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
};

}  // namespace damasktack

#endif  // STANDIN_STANDIN_LISTENER_H_
