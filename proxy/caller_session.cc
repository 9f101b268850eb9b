#include "proxy/caller_session.h"

#include <poll.h>

#include <algorithm>
#include <array>
#include <exception>
#include <utility>

#include "proxy/message_reader.h"
#include "proxy/request_check.h"

namespace damasktack {

namespace {

constexpr std::size_t kLingerChunk = 4096;
// Limit on the head of a request, whatever limit is published.
constexpr std::int64_t kMaxHeadBytes = 16 << 20;
// A request that pauses for longer may be cut off when memory is short.
constexpr Duration kStallTime = std::chrono::milliseconds(500);
// A request that holds less is not worth cutting off.
constexpr std::size_t kMinCutBytes = 16U << 10U;
// A connection on which nothing has arrived for longer may be closed in favour
// of others.
constexpr Duration kMinSilentTime = std::chrono::seconds(1);
// Longer than peers keep idle connections, so that they close them first.
constexpr Duration kPeerIdleTimeout = std::chrono::minutes(15);
constexpr Duration kMaxLinger = std::chrono::seconds(1);
constexpr Duration kPollInterval = std::chrono::milliseconds(20);
// Maximum requests of one connection served at a time; further ones stay
// unread.
constexpr std::size_t kMaxPendingRequests = 16;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

bool IsSafe(http::verb method) {
  return method == http::verb::get || method == http::verb::head ||
         method == http::verb::options;
}

bool IsHungUp(Tcp::socket& socket) {
  pollfd state{socket.native_handle(), POLLRDHUP, 0};
  return poll(&state, 1, 0) > 0;
}

std::size_t HeadLimit(const CallerLimits& limits) {
  return static_cast<std::size_t>(std::min(limits.header_bytes, kMaxHeadBytes));
}

std::ptrdiff_t CountFields(const HttpRequest& request) {
  return std::distance(request.begin(), request.end());
}

// Registers a session while it runs, so that it can be notified of a shutdown.
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

// Sets Content-Length as the status and method require: an answer to HEAD keeps
// the length that GET would have, and 204 and 304 have none.
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

// Makes room for a request at the expense of callers that have stopped sending.
class CallerSession::RequestRoom {
 public:
  explicit RequestRoom(CallerSession& session) : session_(session) {}

  asio::awaitable<bool> Take(MemoryAccount& memory, std::size_t bytes) {
    bool is_taken = !session_.HasReadEnded() && memory.Resize(bytes);
    while (!is_taken && !session_.HasReadEnded() && memory.MayEverFit(bytes) &&
           session_.CutOtherRead()) {
      is_taken = memory.Resize(bytes);
    }
    co_return is_taken;
  }

 private:
  CallerSession& session_;
};

CallerSession::CallerSession(Tcp::socket socket,
                             ProxyState& state,
                             ProxyLoop& loop,
                             CallOrigin origin)
    : socket_(std::move(socket)),
      state_(state),
      loop_(loop),
      origin_(origin),
      timer_(socket_.get_executor()),
      write_timer_(socket_.get_executor()),
      changed_(socket_.get_executor()),
      buf_(kMaxUnreadBytes,
           MemoryAccount(&state.memory(), MemoryBudget::Source::kRequest)) {}

void CallerSession::ArmTimer(Duration timeout) {
  timed_out_ = false;
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    // A handler that was already queued when the timer was restarted must not
    // end the next wait.
    if (ec || self->timer_.expiry() > Clock::now()) {
      return;
    }
    // Cancelling now would truncate an earlier answer that is being written.
    if (self->is_writing_) {
      self->ArmTimer(kPollInterval);
      return;
    }
    self->timed_out_ = true;
    self->socket_.cancel(ec);
  });
}

void CallerSession::ArmWriteTimer(Duration timeout) {
  write_timer_.expires_after(timeout);
  write_timer_.async_wait(
      [self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && self->write_timer_.expiry() <= Clock::now()) {
          self->socket_.cancel(ec);
        }
      });
}

void CallerSession::DisarmTimer() {
  timer_.expires_at(TimePoint::max());
}

void CallerSession::OnConnectionLost() {
  lost_ = true;
  for (const PendingRequestPtr& it : pending_) {
    if (it->handler) {
      it->handler->OnCallerGone();
    }
  }
  losing_sends_->Close();
  changed_.cancel();
}

void CallerSession::BeginIdle() {
  Duration timeout = origin_ == CallOrigin::kPeer
                         ? kPeerIdleTimeout
                         : state_.caller_limits().idle_timeout;
  if (state_.stopping()) {
    timeout = std::min(timeout, StopSchedule::kMinSilence);
  }
  is_idle_ = true;
  ArmTimer(std::min(timeout, state_.stop_schedule().ReadTimeout(
                                 DescribeForStop(), Clock::now())));
}

void CallerSession::OnStopAnnounced() {
  const StopSchedule schedule = state_.stop_schedule();
  const TimePoint now = Clock::now();
  const Duration to_read = schedule.ReadTimeout(DescribeForStop(), now);
  const bool receives = is_reading_ && !has_read_;
  if ((is_idle_ || receives) && timer_.expiry() > now + to_read) {
    ArmTimer(to_read);
  }
  const Duration to_write = schedule.TimeToClose(now);
  if (is_writing_ && write_timer_.expiry() > now + to_write) {
    ArmWriteTimer(to_write);
  }
}

void CallerSession::OnStopping() {
  losing_sends_->Close();
  if (is_idle_) {
    ArmTimer(std::min(StopSchedule::kMinSilence,
                      state_.caller_limits().idle_timeout));
  }
}

std::int64_t CallerSession::LogCutCalls(TimePoint now) const {
  std::int64_t calls = 0;
  for (const PendingRequestPtr& it : pending_) {
    if (it->handler) {
      state_.call_log().WriteCut(it->handler->DescribeCut(now), now);
      ++calls;
    }
  }
  return calls;
}

StopSchedule::Connection CallerSession::DescribeForStop() const {
  StopSchedule::Connection connection{longest_call_, TimePoint::min()};
  for (const PendingRequestPtr& it : pending_) {
    if (it->handler) {
      connection.longest_call =
          std::max(connection.longest_call, it->handler->time_limit());
      connection.begins_by =
          std::max(connection.begins_by, it->handler->deadline());
    }
  }
  return connection;
}

bool CallerSession::MayReadMore() const {
  return state_.stop_schedule().MayRead(DescribeForStop(), Clock::now());
}

bool CallerSession::HasMoreRequests() {
  boost::system::error_code ec;
  return buf_.size() > 0 || socket_.available(ec) > 0;
}

asio::awaitable<void> CallerSession::AwaitTimeToRead() {
  while (!lost_ && !is_closing_ && !pending_.empty() && !MayReadMore()) {
    co_await AwaitPendingBelow(pending_.size());
  }
}

asio::awaitable<bool> CallerSession::AwaitRequest() {
  co_await AwaitTimeToRead();
  if (lost_ || is_closing_) {
    co_return false;
  }
  if (buf_.size() > 0) {
    co_return true;
  }
  buf_.Shrink();
  boost::system::error_code ec;
  awaits_request_ = true;
  if (pending_.empty()) {
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
  // A request may be in transit while the connection is closed. With a plain
  // close, the caller could not tell whether it ran; this answer before the
  // close tells the caller that it did not.
  if (timed_out_ && !state_.options().names.closes_idle_silently) {
    Refuse(MakeFailure(FailureKind::kIdleTimeout));
  }
  co_return false;
}

asio::awaitable<std::optional<Failure>> CallerSession::ReadHead(
    Parser& parser) {
  const std::size_t max_bytes = HeadLimit(state_.caller_limits());
  std::size_t end = std::string_view::npos;
  while (end == std::string_view::npos) {
    const std::string_view text = buf_.text();
    end = text.find(kEndOfHead);
    if (std::min(end, text.size()) > max_bytes) {
      co_return MakeFailure(FailureKind::kHeadTooLarge);
    }
    if (end != std::string_view::npos) {
      break;
    }
    std::optional<Failure> partial = CheckPartialHead(text);
    if (partial) {
      co_return partial;
    }
    const ReadEnd more = co_await ReadMore(socket_, buf_, kHeadPieceBytes);
    if (more.ec == boost::system::errc::not_enough_memory) {
      co_return MakeFailure(FailureKind::kMemoryShort);
    }
    if (more.ec) {
      lost_ = lost_ || (!timed_out_ && !is_closing_);
      co_return MakeFailure(FailureKind::kRequestTimeout);
    }
  }
  const std::size_t size = end + kEndOfHead.size();
  std::optional<Failure> fault = CheckRequestHead(buf_.text().substr(0, size));
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
  buf_.Consume(size);
  co_return reading_.Resize(kMemoryPerHeadByte * size)
      ? std::nullopt
      : std::optional(MakeFailure(FailureKind::kMemoryShort));
}

asio::awaitable<std::optional<Failure>> CallerSession::InviteBody(
    const Parser& parser) {
  const bool waits = parser.get().count(http::field::expect) > 0 &&
                     parser.get().version() == 11 && buf_.size() == 0;
  if (!waits) {
    co_return std::nullopt;
  }
  co_await AwaitPendingBelow(1);
  if (lost_ || is_closing_ || HasReadEnded()) {
    co_return MakeFailure(FailureKind::kRequestTimeout);
  }
  boost::system::error_code ec;
  co_await asio::async_write(socket_, asio::buffer(kContinue),
                             asio::redirect_error(asio::use_awaitable, ec));
  co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> CallerSession::ReadWholeBody(
    Parser& parser) {
  const auto max_bytes =
      static_cast<std::size_t>(state_.caller_limits().body_bytes);
  const auto length = parser.content_length();
  if (length && *length > max_bytes) {
    co_return MakeFailure(FailureKind::kBodyTooLarge);
  }
  if (parser.is_done()) {
    co_return std::nullopt;
  }
  RequestRoom room(*this);
  const bool is_taken = co_await TakeStatedBody(parser, reading_, room);
  if (!is_taken) {
    co_return MakeFailure(FailureKind::kMemoryShort);
  }
  std::optional<Failure> failure = co_await InviteBody(parser);
  if (failure) {
    co_return failure;
  }
  const std::ptrdiff_t fields = CountFields(parser.get());
  const ReadEnd end =
      co_await ReadBody(socket_, buf_, parser, max_bytes, reading_, room);
  const boost::system::error_code ec = end.ec;
  if (HasReadEnded()) {
    co_return MakeFailure(FailureKind::kRequestTimeout);
  }
  if (ec == boost::system::errc::not_enough_memory) {
    co_return MakeFailure(FailureKind::kMemoryShort);
  }
  if (ec == http::error::body_limit) {
    co_return MakeFailure(FailureKind::kBodyTooLarge);
  }
  // Parser errors are caused by the caller; any other error means that the
  // connection has ended, unless an answer that closes it has ended the read.
  lost_ = lost_ || (ec && !is_closing_ &&
                    (ec == http::error::partial_message ||
                     ec.category() == boost::system::system_category()));
  if (ec) {
    co_return MakeFailure(FailureKind::kBadRequest, ec.message());
  }
  // Only the head has been checked; a trailer after the body has not, and could
  // name another customer or key.
  if (CountFields(parser.get()) != fields) {
    co_return MakeFailure(FailureKind::kBadRequest, "trailers after the body");
  }
  co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> CallerSession::ReadRequest(
    Parser& parser) {
  const CallerLimits caller_limits = state_.caller_limits();
  const std::size_t head_limit = HeadLimit(caller_limits);
  buf_.SetMaxBytes(head_limit + kMaxUnreadBytes);
  parser.header_limit(
      static_cast<std::uint32_t>(head_limit + kEndOfHead.size()));
  parser.body_limit(static_cast<std::uint64_t>(caller_limits.body_bytes));
  parser.eager(true);
  ArmTimer(std::min(
      caller_limits.header_timeout,
      state_.stop_schedule().ReadTimeout(DescribeForStop(), Clock::now())));
  std::optional<Failure> failure = co_await ReadHead(parser);
  if (!failure) {
    failure = co_await ReadWholeBody(parser);
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
  has_received_ = true;
  is_reading_ = true;
  reading_ = MemoryAccount(&state_.memory(), MemoryBudget::Source::kRequest);
  std::optional<Failure> failure = co_await ReadRequest(parser);
  MemoryAccount memory = std::move(reading_);
  if (lost_ || is_closing_) {
    co_return false;
  }
  if (failure) {
    Refuse(std::move(*failure));
    co_return false;
  }
  has_read_ = true;
  co_return co_await Begin(parser.release(), std::move(memory));
}

// Input that waits in the kernel is no pause of the caller: this process may
// have been suspended.
bool CallerSession::IsReadStalled(TimePoint now) {
  boost::system::error_code ec;
  return is_reading_ && !has_read_ && !is_writing_ && !HasReadEnded() &&
         reading_.bytes() >= kMinCutBytes && now - last_input() >= kStallTime &&
         socket_.available(ec) == 0;
}

void CallerSession::CloseSilent(ProxyLoop& loop, TimePoint now) {
  CallerSession* longest = nullptr;
  for (CallerSession* it : loop.sessions()) {
    const bool is_longer =
        longest == nullptr || it->last_input() < longest->last_input();
    if (it->is_idle_ && !it->has_received_ && is_longer &&
        now - it->last_input() >= kMinSilentTime) {
      longest = it;
    }
  }
  if (longest != nullptr) {
    boost::system::error_code ec;
    longest->lost_ = true;
    longest->socket_.cancel(ec);
  }
}

bool CallerSession::CutOtherRead() {
  const TimePoint now = Clock::now();
  CallerSession* longest = nullptr;
  for (CallerSession* it : loop_.sessions()) {
    const bool is_longer =
        longest == nullptr || it->last_input() < longest->last_input();
    if (it != this && is_longer && it->IsReadStalled(now)) {
      longest = it;
    }
  }
  if (longest == nullptr) {
    return false;
  }
  longest->CutRead();
  return true;
}

void CallerSession::CutRead() {
  boost::system::error_code ec;
  is_cut_ = true;
  reading_.Release();
  socket_.cancel(ec);
}

asio::awaitable<void> CallerSession::AwaitPendingBelow(std::size_t count) {
  while (!lost_ && pending_.size() >= count) {
    boost::system::error_code ec;
    changed_.expires_after(kPollInterval);
    co_await changed_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    // No read is pending that would detect a close.
    if (!lost_ && IsHungUp(socket_)) {
      OnConnectionLost();
    }
  }
}

asio::awaitable<bool> CallerSession::Begin(HttpRequest request,
                                           MemoryAccount memory) {
  const auto entry = std::make_shared<PendingRequest>();
  entry->wants_more = request.keep_alive();
  entry->head_only = request.method() == http::verb::head;
  entry->is_safe = IsSafe(request.method());
  const bool waits_for_all =
      !entry->is_safe || (!pending_.empty() && !pending_.back()->is_safe);
  co_await AwaitPendingBelow(waits_for_all ? 1 : kMaxPendingRequests);
  if (lost_ || is_closing_) {
    co_return false;
  }
  entry->handler =
      std::make_shared<CallHandler>(state_, loop_, origin_, losing_sends_);
  is_reading_ = false;
  has_read_ = false;
  pending_.push_back(entry);
  asio::co_spawn(socket_.get_executor(),
                 Answer(entry, std::move(request), std::move(memory)),
                 asio::detached);
  co_return entry->wants_more;
}

asio::awaitable<void> CallerSession::Answer(PendingRequestPtr entry,
                                            HttpRequest request,
                                            MemoryAccount memory) {
  const auto self = shared_from_this();
  try {
    entry->response =
        co_await entry->handler->Handle(std::move(request), std::move(memory));
    entry->memory = entry->handler->TakeAnswerMemory();
  } catch (const std::exception& error) {
    // Without an answer, the entry would stay pending and the connection open
    // forever. The call may have been sent before the exception.
    state_.counters().CountFailure(FailureKind::kInternal);
    state_.call_log().WriteInternalError(error.what(), Clock::now());
    entry->response =
        RenderFailure(MakeFailure(FailureKind::kInternal), Outcome::kUnknown,
                      {}, state_.options().names);
  }
  longest_call_ = std::max(longest_call_, entry->handler->time_limit());
  entry->handler.reset();
  co_await WriteReadyAnswers();
}

// Requests that have been read are answered before the connection is closed;
// those that have only arrived are too, if they can be finished.
bool CallerSession::StaysOpenAfter(const PendingRequest& entry) {
  if (!entry.wants_more) {
    return false;
  }
  if (pending_.size() > 1 || has_read_) {
    return true;
  }
  return MayReadMore() &&
         (!state_.stopping() || is_reading_ || HasMoreRequests());
}

asio::awaitable<void> CallerSession::WriteReadyAnswers() {
  if (is_writing_) {
    co_return;
  }
  is_writing_ = true;
  while (!pending_.empty() && pending_.front()->response) {
    const PendingRequestPtr entry = pending_.front();
    const bool stays = StaysOpenAfter(*entry);
    if (!lost_ && !is_closing_) {
      is_closing_ = !stays;
      const bool written =
          co_await Write(std::move(*entry->response), stays, entry->head_only);
      if (!written) {
        OnConnectionLost();
      }
    }
    pending_.pop_front();
  }
  is_writing_ = false;
  EndWriting();
}

void CallerSession::EndWriting() {
  changed_.cancel();
  const bool receives = awaits_request_ || (is_reading_ && !has_read_);
  if ((lost_ || is_closing_) && receives) {
    boost::system::error_code ec;
    socket_.cancel(ec);
    return;
  }
  if (pending_.empty() && awaits_request_) {
    BeginIdle();
  }
}

asio::awaitable<bool> CallerSession::Write(HttpResponse response,
                                           bool keep_alive,
                                           bool head_only) {
  response.keep_alive(keep_alive);
  SetLength(response, head_only);
  boost::system::error_code ec;
  ArmWriteTimer(std::min(state_.caller_limits().header_timeout,
                         state_.stop_schedule().TimeToClose(Clock::now())));
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

// The refusal is written after the answers to all earlier requests and closes
// the connection.
void CallerSession::Refuse(Failure failure) {
  state_.counters().CountFailure(failure.kind);
  const auto entry = std::make_shared<PendingRequest>();
  entry->response =
      RenderFailure(failure, Outcome::kNotRun, {}, state_.options().names);
  if (failure.kind == FailureKind::kMemoryShort) {
    const MemoryBudget& memory = state_.memory();
    state_.call_log().WriteMemoryShort(memory.used(), memory.limit(),
                                       Clock::now());
    if (origin_ == CallOrigin::kPeer) {
      // Another peer may take the call.
      entry->response->set(kRelayRefusedHeader,
                           ToBeast(ToString(failure.kind)));
    }
  }
  pending_.push_back(entry);
  asio::co_spawn(
      socket_.get_executor(),
      [self = shared_from_this()]() -> asio::awaitable<void> {
        co_await self->WriteReadyAnswers();
      },
      asio::detached);
}

asio::awaitable<void> CallerSession::Linger() {
  boost::system::error_code ec;
  socket_.shutdown(Tcp::socket::shutdown_send, ec);
  // Closing a socket with unread bytes makes the kernel send a reset, which can
  // discard the answer in the caller's receive buffer.
  std::array<char, kLingerChunk> rest{};
  ArmTimer(
      std::min(kMaxLinger, state_.stop_schedule().TimeToClose(Clock::now())));
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
    OnConnectionLost();
  }
  // The session must outlive its calls, even if the caller is gone.
  while (!pending_.empty()) {
    co_await AwaitPendingBelow(1);
    boost::system::error_code ec;
    if (!pending_.empty()) {
      changed_.expires_after(kPollInterval);
      co_await changed_.async_wait(
          asio::redirect_error(asio::use_awaitable, ec));
    }
  }
  losing_sends_->Close();
  co_await Linger();
}

asio::awaitable<void> CallerSession::RunRefusal() {
  const auto self = shared_from_this();
  Refuse(MakeFailure(FailureKind::kTooManyConnections));
  co_await AwaitPendingBelow(1);
  co_await Linger();
}

}  // namespace damasktack
