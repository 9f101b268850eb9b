#ifndef PROXY_CALLER_SESSION_H_
#define PROXY_CALLER_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>

#include "core/memory_account.h"
#include "proxy/call_handler.h"
#include "proxy/failure.h"
#include "proxy/metered_buffer.h"
#include "proxy/stop_schedule.h"

namespace damasktack {

// One caller's connection: reads requests one after another, refuses malformed
// ones, and writes the answers in the order of the requests. Pipelined requests
// with safe methods are served concurrently. Used on one I/O thread only.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(Tcp::socket socket,
                ProxyState& state,
                ProxyLoop& loop,
                CallOrigin origin);

  // Serves requests until either side closes the connection.
  asio::awaitable<void> Run();
  // Answers a connection over the connection limit with 503 and closes it.
  asio::awaitable<void> RunRefusal();
  // Closes the connection of the loop that has been open for longest without
  // any request, if there is one.
  static void CloseSilent(ProxyLoop& loop, TimePoint now);
  // Called when the time is known at which the daemon aborts calls: limits the
  // time to read and to write accordingly.
  void OnStopAnnounced();
  // Called when the daemon is stopping: shortens the idle timeout.
  void OnStopping();
  // Logs the calls in flight, which are about to be aborted. Returns their
  // number.
  std::int64_t LogCutCalls(TimePoint now) const;

 private:
  using Parser = http::request_parser<http::string_body>;

  // A request whose answer has not been written yet, with the answer once there
  // is one.
  struct PendingRequest {
    std::shared_ptr<CallHandler> handler;
    bool head_only = false;
    bool wants_more = false;
    // Whether the method is safe; safe requests may run concurrently.
    bool is_safe = false;
    std::optional<HttpResponse> response;
    // What the response holds.
    MemoryAccount memory;
  };
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;
  class RequestRoom;

  // The following functions return false, or a failure, if the connection must
  // be closed.
  asio::awaitable<bool> ServeOne();
  asio::awaitable<bool> AwaitRequest();
  // Waits for earlier requests as long as a further one could not be finished
  // before the daemon aborts calls.
  asio::awaitable<void> AwaitTimeToRead();
  asio::awaitable<std::optional<Failure>> ReadRequest(Parser& parser);
  asio::awaitable<std::optional<Failure>> ReadHead(Parser& parser);
  asio::awaitable<std::optional<Failure>> ReadWholeBody(Parser& parser);
  // Sends "100 Continue" if the caller waits for it.
  asio::awaitable<std::optional<Failure>> InviteBody(const Parser& parser);
  // Makes room by ending reads of other callers that have stalled. Returns
  // false if there is none.
  bool CutOtherRead();
  // Whether the caller has paused while it sends a request that holds much
  // memory.
  bool IsReadStalled(TimePoint now);
  // Whether the time to read a request is over.
  bool HasReadEnded() const { return timed_out_ || is_cut_; }
  // Ends the reading of a request as a timeout does.
  void CutRead();
  TimePoint last_input() const { return buf_.last_input(); }
  asio::awaitable<bool> Begin(HttpRequest request, MemoryAccount memory);
  asio::awaitable<void> Answer(PendingRequestPtr entry,
                               HttpRequest request,
                               MemoryAccount memory);
  void Refuse(Failure failure);
  // Waits until fewer than `count` requests are pending or the connection is
  // lost.
  asio::awaitable<void> AwaitPendingBelow(std::size_t count);
  // Writes the answers that are complete and next in order.
  asio::awaitable<void> WriteReadyAnswers();
  asio::awaitable<bool> Write(HttpResponse response,
                              bool keep_alive,
                              bool head_only);
  // Closes the connection without discarding an answer that the caller has not
  // read yet.
  asio::awaitable<void> Linger();

  void ArmTimer(Duration timeout);
  void ArmWriteTimer(Duration timeout);
  void DisarmTimer();
  void BeginIdle();
  void EndWriting();
  // Handles the loss of the connection: writes nothing more and cancels the
  // caller's calls.
  void OnConnectionLost();
  bool HasMoreRequests();
  bool StaysOpenAfter(const PendingRequest& entry);
  // Whether one more request may be read; always true unless the daemon is
  // about to abort calls.
  bool MayReadMore() const;
  StopSchedule::Connection DescribeForStop() const;

  Tcp::socket socket_;
  ProxyState& state_;
  ProxyLoop& loop_;
  const std::shared_ptr<LosingSends> losing_sends_ =
      std::make_shared<LosingSends>();
  const CallOrigin origin_;
  // Timeouts for reading and for writing.
  asio::steady_timer timer_;
  asio::steady_timer write_timer_;
  // Cancelled at each change of `pending_`.
  asio::steady_timer changed_;
  // In the order in which the requests arrived.
  std::deque<PendingRequestPtr> pending_;
  MeteredBuffer buf_;
  // What the request that is being read holds.
  MemoryAccount reading_;
  bool awaits_request_ = false;
  // Something has arrived on the connection.
  bool has_received_ = false;
  // A request has begun to arrive but is not in `pending_` yet.
  bool is_reading_ = false;
  // This request is complete and waits for earlier ones.
  bool has_read_ = false;
  // The longest time limit of the calls so far.
  Duration longest_call_{};
  bool is_idle_ = false;
  bool timed_out_ = false;
  // Another session needed the memory of the request that was being read.
  bool is_cut_ = false;
  bool is_writing_ = false;
  // An answer has announced that the connection is closed after it.
  bool is_closing_ = false;
  // The peer has closed or reset the connection.
  bool lost_ = false;
};

}  // namespace damasktack

#endif  // PROXY_CALLER_SESSION_H_
