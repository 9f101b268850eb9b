#ifndef PROXY_CALLER_SESSION_H_
#define PROXY_CALLER_SESSION_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>

#include "proxy/call_handler.h"
#include "proxy/failure.h"

namespace damasktack {

// One caller's connection: reads requests one after another, refuses what is
// malformed, and writes the answers in the order of the requests. Idempotent
// methods that arrive before earlier answers are served at the same time. Lives
// on one I/O thread.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(Tcp::socket socket, ProxyState& state, ProxyLoop& loop);

  // Serves until either side closes.
  asio::awaitable<void> Run();
  // Answers one connection more than the limit with 503 and closes it.
  asio::awaitable<void> RunRefusal();
  // The daemon is stopping: an idle connection ends soon.
  void OnStopping();

 private:
  using Parser = http::request_parser<http::string_body>;

  // One request and its answer.
  struct Turn {
    std::shared_ptr<CallHandler> handler;
    bool head_only = false;
    bool wants_more = false;
    // By its method; such requests may overtake each other.
    bool is_safe = false;
    std::optional<HttpResponse> response;
  };
  using TurnPtr = std::shared_ptr<Turn>;

  // Each is false, or a failure, where the connection is to end.
  asio::awaitable<bool> ServeOne();
  asio::awaitable<bool> AwaitRequest();
  asio::awaitable<std::optional<Failure>> ReadRequest(Parser& parser);
  asio::awaitable<std::optional<Failure>> ReadHead(Parser& parser);
  asio::awaitable<std::optional<Failure>> ReadBody(Parser& parser);
  asio::awaitable<bool> Begin(HttpRequest request);
  asio::awaitable<void> Answer(TurnPtr turn, HttpRequest request);
  void Refuse(Failure failure);
  // Waits until fewer than `most` answers are due, or nobody is left to get
  // them.
  asio::awaitable<void> AwaitTurns(std::size_t most);
  // Writes what may be written now.
  asio::awaitable<void> WriteReady();
  asio::awaitable<bool> Write(HttpResponse response,
                              bool keep_alive,
                              bool head_only);
  // Ends the connection without destroying an answer that the caller has not
  // read yet.
  asio::awaitable<void> Linger();

  void ArmTimer(Duration timeout);
  void DisarmTimer();
  void BeginIdle();
  void EndWriting();
  // The caller is gone: nothing more is written, and its calls are cancelled.
  void Lose();
  bool HasMoreRequests();
  bool StaysOpenAfter(const Turn& turn);

  Tcp::socket socket_;
  ProxyState& state_;
  ProxyLoop& loop_;
  // For what is read, and for what is written.
  asio::steady_timer timer_;
  asio::steady_timer write_timer_;
  // Cancelled at each change of `turns_`.
  asio::steady_timer changed_;
  // In the order of the requests.
  std::deque<TurnPtr> turns_;
  beast::flat_buffer buf_;
  bool awaits_request_ = false;
  // A request has begun to arrive and is not among the turns yet.
  bool is_reading_ = false;
  bool is_idle_ = false;
  bool timed_out_ = false;
  bool is_writing_ = false;
  // An answer has said that the connection ends.
  bool is_closing_ = false;
  // The peer has closed or reset; there is nobody to answer.
  bool lost_ = false;
};

}  // namespace damasktack

#endif  // PROXY_CALLER_SESSION_H_
