#include "proxy/caller_session.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <utility>

#include "proxy/request_check.h"

namespace damasktack {

namespace {

constexpr std::size_t kReadChunk = 4096;
// An idle connection gives back a buffer that grew beyond this.
constexpr std::size_t kKeptBuffer = 16U << 10U;
// While stopping, a silent connection is closed after this: long against the
// way of a request that has been sent, short against a stop.
constexpr Duration kIdleWhileStopping = std::chrono::milliseconds(500);
constexpr Duration kLongestLinger = std::chrono::seconds(1);
constexpr Duration kPollInterval = std::chrono::milliseconds(20);
// Requests of one connection that are served at a time; more wait unread.
constexpr std::size_t kMostTurns = 16;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

bool IsSafe(http::verb method) {
  return method == http::verb::get || method == http::verb::head ||
         method == http::verb::options;
}

bool IsHungUp(Tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0;
}

std::string_view TextOf(const beast::flat_buffer& buf) {
  return {static_cast<const char*>(buf.data().data()), buf.size()};
}

std::ptrdiff_t CountFields(const HttpRequest& request) {
  return std::distance(request.begin(), request.end());
}

// A session is listed while it runs, so that a stop reaches it.
class Registration {
 public:
  Registration(std::unordered_set<CallerSession*>& sessions,
               CallerSession* session)
      : sessions_(sessions), session_(session) {
    sessions_.insert(session_);
  }
  ~Registration() { sessions_.erase(session_); }
  Registration(const Registration&) = delete;
  Registration& operator=(const Registration&) = delete;

 private:
  std::unordered_set<CallerSession*>& sessions_;
  CallerSession* const session_;
};

// Sets the length that goes with the status and the method: an answer to HEAD
// keeps the length that GET would have, and 204 and 304 have none.
void SetLength(HttpResponse& response, bool head_only) {
  const bool has_length = response.count(http::field::content_length) > 0;
  const bool is_bare = response.result() == http::status::no_content ||
                       response.result() == http::status::not_modified;
  if (is_bare) {
    response.body().clear();
    response.erase(http::field::content_length);
    return;
  }
  if (!head_only || !has_length) {
    response.prepare_payload();
  }
  if (head_only) {
    response.body().clear();
  }
}

}  // namespace

CallerSession::CallerSession(Tcp::socket socket,
                             ProxyState& state,
                             ProxyLoop& loop)
    : socket_(std::move(socket)),
      state_(state),
      loop_(loop),
      timer_(socket_.get_executor()),
      write_timer_(socket_.get_executor()),
      changed_(socket_.get_executor()) {}

void CallerSession::ArmTimer(Duration timeout) {
  timed_out_ = false;
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    // A handler that was already queued when the timer was set anew must not
    // end the next wait.
    if (ec || self->timer_.expiry() > Clock::now()) {
      return;
    }
    // Cancelling would cut an earlier answer that is being written.
    if (self->is_writing_) {
      self->ArmTimer(kPollInterval);
      return;
    }
    self->timed_out_ = true;
    self->socket_.cancel(ec);
  });
}

void CallerSession::DisarmTimer() {
  timer_.expires_at(TimePoint::max());
}

void CallerSession::Lose() {
  lost_ = true;
  for (const TurnPtr& it : turns_) {
    if (it->handler) {
      it->handler->CallerGone();
    }
  }
  changed_.cancel();
}

void CallerSession::BeginIdle() {
  Duration patience = state_.bounds().idle_timeout;
  if (state_.stopping()) {
    patience = std::min(patience, kIdleWhileStopping);
  }
  is_idle_ = true;
  ArmTimer(patience);
}

void CallerSession::OnStopping() {
  if (is_idle_) {
    ArmTimer(std::min(kIdleWhileStopping, state_.bounds().idle_timeout));
  }
}

bool CallerSession::HasMoreRequests() {
  boost::system::error_code ec;
  return buf_.size() > 0 || socket_.available(ec) > 0;
}

asio::awaitable<bool> CallerSession::AwaitRequest() {
  if (buf_.size() > 0) {
    co_return true;
  }
  if (buf_.capacity() > kKeptBuffer) {
    buf_.shrink_to_fit();
  }
  boost::system::error_code ec;
  awaits_request_ = true;
  if (turns_.empty()) {
    BeginIdle();
  }
  co_await socket_.async_wait(Tcp::socket::wait_read,
                              asio::redirect_error(asio::use_awaitable, ec));
  awaits_request_ = false;
  is_idle_ = false;
  if (lost_ || is_closing_) {
    co_return false;
  }
  if (!ec || HasMoreRequests()) {
    co_return true;
  }
  // A request may be on its way while the connection is closed. With a plain
  // close its caller could not tell whether it ran; this answer, which stands
  // before the close, tells it that it did not.
  if (timed_out_ && !state_.options().names.closes_idle_silently) {
    Refuse(MakeFailure(FailureKind::kIdleTimeout));
  }
  co_return false;
}

asio::awaitable<std::optional<Failure>> CallerSession::ReadHead(
    Parser& parser) {
  const auto most = static_cast<std::size_t>(state_.bounds().header_bytes);
  std::size_t end = std::string_view::npos;
  while (end == std::string_view::npos) {
    const std::string_view text = TextOf(buf_);
    end = text.find(kEndOfHead);
    if (std::min(end, text.size()) > most) {
      co_return MakeFailure(FailureKind::kHeadTooLarge);
    }
    if (end != std::string_view::npos) {
      break;
    }
    std::optional<Failure> partial = CheckPartialHead(text);
    if (partial) {
      co_return partial;
    }
    boost::system::error_code ec;
    const std::size_t n = co_await socket_.async_read_some(
        buf_.prepare(kReadChunk),
        asio::redirect_error(asio::use_awaitable, ec));
    buf_.commit(n);
    if (ec) {
      lost_ = !timed_out_;
      co_return MakeFailure(FailureKind::kRequestTimeout);
    }
  }
  const std::size_t size = end + kEndOfHead.size();
  std::optional<Failure> fault = CheckRequestHead(TextOf(buf_).substr(0, size));
  if (fault) {
    co_return fault;
  }
  boost::system::error_code ec;
  parser.put(asio::const_buffer(buf_.data().data(), size), ec);
  if (ec == http::error::body_limit) {
    co_return MakeFailure(FailureKind::kBodyTooLarge);
  }
  if (ec || !parser.is_header_done()) {
    co_return MakeFailure(FailureKind::kBadRequest, ec.message());
  }
  buf_.consume(size);
  co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> CallerSession::ReadBody(
    Parser& parser) {
  boost::system::error_code ec;
  const auto length = parser.content_length();
  if (length &&
      *length > static_cast<std::uint64_t>(state_.bounds().body_bytes)) {
    co_return MakeFailure(FailureKind::kBodyTooLarge);
  }
  if (parser.is_done()) {
    co_return std::nullopt;
  }
  const bool waits = parser.get().count(http::field::expect) > 0 &&
                     parser.get().version() == 11 && buf_.size() == 0;
  if (waits) {
    co_await AwaitTurns(1);
    co_await asio::async_write(socket_, asio::buffer(kContinue),
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  const std::ptrdiff_t fields = CountFields(parser.get());
  co_await http::async_read(socket_, buf_, parser,
                            asio::redirect_error(asio::use_awaitable, ec));
  if (timed_out_) {
    co_return MakeFailure(FailureKind::kRequestTimeout);
  }
  if (ec == http::error::body_limit) {
    co_return MakeFailure(FailureKind::kBodyTooLarge);
  }
  // The parser's own errors are the caller's mistakes; any other means that
  // the connection has ended.
  lost_ = ec && (ec == http::error::partial_message ||
                 ec.category() == boost::system::system_category());
  if (ec) {
    co_return MakeFailure(FailureKind::kBadRequest, ec.message());
  }
  // The head was checked before the body; a header that comes after it was
  // not, and could name another customer or key.
  if (CountFields(parser.get()) != fields) {
    co_return MakeFailure(FailureKind::kBadRequest, "trailers after the body");
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> CallerSession::ReadRequest(
    Parser& parser) {
  const CallerLimits bounds = state_.bounds();
  parser.header_limit(static_cast<std::uint32_t>(bounds.header_bytes) +
                      static_cast<std::uint32_t>(kEndOfHead.size()));
  parser.body_limit(static_cast<std::uint64_t>(bounds.body_bytes));
  parser.eager(true);
  ArmTimer(bounds.header_timeout);
  std::optional<Failure> failure = co_await ReadHead(parser);
  if (!failure) {
    failure = co_await ReadBody(parser);
  }
  DisarmTimer();
  co_return failure;
}

asio::awaitable<bool> CallerSession::ServeOne() {
  const bool arrived = co_await AwaitRequest();
  if (!arrived) {
    co_return false;
  }
  Parser parser;
  is_reading_ = true;
  std::optional<Failure> failure = co_await ReadRequest(parser);
  if (lost_ || is_closing_) {
    co_return false;
  }
  if (failure) {
    Refuse(std::move(*failure));
    co_return false;
  }
  co_return co_await Begin(parser.release());
}

asio::awaitable<void> CallerSession::AwaitTurns(std::size_t most) {
  while (!lost_ && turns_.size() >= most) {
    boost::system::error_code ec;
    changed_.expires_after(kPollInterval);
    co_await changed_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    // Nothing is read meanwhile that would tell of a close.
    if (!lost_ && IsHungUp(socket_)) {
      Lose();
    }
  }
}

asio::awaitable<bool> CallerSession::Begin(HttpRequest request) {
  const auto turn = std::make_shared<Turn>();
  turn->wants_more = request.keep_alive();
  turn->head_only = request.method() == http::verb::head;
  turn->is_safe = IsSafe(request.method());
  const bool waits_for_all =
      !turn->is_safe || (!turns_.empty() && !turns_.back()->is_safe);
  co_await AwaitTurns(waits_for_all ? 1 : kMostTurns);
  if (lost_ || is_closing_) {
    co_return false;
  }
  turn->handler = std::make_shared<CallHandler>(state_, loop_);
  is_reading_ = false;
  turns_.push_back(turn);
  asio::co_spawn(socket_.get_executor(), Answer(turn, std::move(request)),
                 asio::detached);
  co_return turn->wants_more;
}

asio::awaitable<void> CallerSession::Answer(TurnPtr turn, HttpRequest request) {
  const auto self = shared_from_this();
  turn->response = co_await turn->handler->Handle(std::move(request));
  turn->handler.reset();
  co_await WriteReady();
}

// A request that has already arrived is answered before the stop.
bool CallerSession::StaysOpenAfter(const Turn& turn) {
  return turn.wants_more && (!state_.stopping() || turns_.size() > 1 ||
                             is_reading_ || HasMoreRequests());
}

asio::awaitable<void> CallerSession::WriteReady() {
  if (is_writing_) {
    co_return;
  }
  is_writing_ = true;
  while (!turns_.empty() && turns_.front()->response) {
    const TurnPtr turn = turns_.front();
    const bool stays = StaysOpenAfter(*turn);
    if (!lost_ && !is_closing_) {
      is_closing_ = !stays;
      const bool written =
          co_await Write(std::move(*turn->response), stays, turn->head_only);
      if (!written) {
        Lose();
      }
    }
    turns_.pop_front();
  }
  is_writing_ = false;
  EndWriting();
}

void CallerSession::EndWriting() {
  changed_.cancel();
  if ((lost_ || is_closing_) && awaits_request_) {
    boost::system::error_code ec;
    socket_.cancel(ec);
    return;
  }
  if (turns_.empty() && awaits_request_) {
    BeginIdle();
  }
}

asio::awaitable<bool> CallerSession::Write(HttpResponse response,
                                           bool keep_alive,
                                           bool head_only) {
  response.keep_alive(keep_alive);
  SetLength(response, head_only);
  boost::system::error_code ec;
  write_timer_.expires_after(state_.bounds().header_timeout);
  write_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code timer_ec) {
        if (!timer_ec && self->write_timer_.expiry() <= Clock::now()) {
          self->socket_.cancel(timer_ec);
        }
      });
  http::response_serializer<http::string_body> serializer(response);
  if (head_only) {
    serializer.split(true);
    co_await http::async_write_header(
        socket_, serializer, asio::redirect_error(asio::use_awaitable, ec));
  } else {
    co_await http::async_write(socket_, serializer,
                               asio::redirect_error(asio::use_awaitable, ec));
  }
  write_timer_.expires_at(TimePoint::max());
  co_return !ec;
}

// Its answer goes out after those of the requests before it, and ends the
// connection.
void CallerSession::Refuse(Failure failure) {
  state_.counters().CountFailure(failure.kind);
  const auto turn = std::make_shared<Turn>();
  turn->response =
      RenderFailure(failure, Outcome::kNotRun, {}, state_.options().names);
  turns_.push_back(turn);
  asio::co_spawn(
      socket_.get_executor(),
      [self = shared_from_this()]() -> asio::awaitable<void> {
        co_await self->WriteReady();
      },
      asio::detached);
}

asio::awaitable<void> CallerSession::Linger() {
  boost::system::error_code ec;
  socket_.shutdown(Tcp::socket::shutdown_send, ec);
  // Closing with unread bytes makes the kernel send a reset, which can throw
  // away the answer in the caller's own buffers.
  std::array<char, kReadChunk> rest{};
  ArmTimer(kLongestLinger);
  while (!ec && !lost_ && !timed_out_) {
    co_await socket_.async_read_some(
        asio::buffer(rest), asio::redirect_error(asio::use_awaitable, ec));
  }
  DisarmTimer();
  socket_.close(ec);
}

asio::awaitable<void> CallerSession::Run() {
  const auto self = shared_from_this();
  const Registration registration(loop_.sessions(), this);
  while (co_await ServeOne()) {
  }
  if (lost_) {
    Lose();
  }
  // Also without its caller a call has to end before the connection does.
  while (!turns_.empty()) {
    co_await AwaitTurns(1);
    boost::system::error_code ec;
    if (!turns_.empty()) {
      changed_.expires_after(kPollInterval);
      co_await changed_.async_wait(
          asio::redirect_error(asio::use_awaitable, ec));
    }
  }
  co_await Linger();
}

asio::awaitable<void> CallerSession::RunRefusal() {
  const auto self = shared_from_this();
  Refuse(MakeFailure(FailureKind::kTooManyConnections));
  co_await AwaitTurns(1);
  co_await Linger();
}

}  // namespace damasktack
