#include "proxy/endpoint_exchange.h"

#include <algorithm>
#include <utility>

#include "proxy/answer_check.h"
#include "proxy/endpoint_report_codec.h"
#include "proxy/endpoint_signals_codec.h"
#include "proxy/message_reader.h"
#include "proxy/request_check.h"
#include "proxy/unknown_headers.h"

namespace damasktack {

namespace {

constexpr unsigned kFirstClientError = 400;
constexpr unsigned kFirstServerError = 500;
// More interim (1xx) answers before the final one are treated as a fault.
constexpr int kMaxInterimAnswers = 16;
// Number of answers to other calls that are skipped before the connection is
// abandoned.
constexpr int kMaxStrayAnswers = 4;
// If an endpoint's kernel has not acknowledged sent bytes for this long, the
// network path has lost the connection; the time allows for three
// retransmissions. Without this check, calls were sent on connections that had
// been lost while idle, and their callers waited for their full timeout.
constexpr std::chrono::milliseconds kUnacknowledgedTimeout(1000);
// Interval of the checks whether the peer of a long request still answers; a
// fraction of the time above, so that it is exceeded by little.
constexpr std::chrono::milliseconds kPeerCheckInterval(100);
// A request up to this size fits into the kernel's send buffer, so writing it
// never blocks on the endpoint.
constexpr std::size_t kMaxSingleWriteBytes = 16U << 10U;

// An answer that holds more than this does not wait for memory: answers that
// wait for each other would not end before their deadlines.
constexpr std::size_t kMaxWaitingBytes = 64U << 10U;
constexpr Duration kMemoryPollInterval = std::chrono::milliseconds(10);

// Whether the end of the answer can be distinguished from a broken connection.
// An answer that ends when the connection is closed, or whose length headers
// are ambiguous, cannot be passed on as complete.
bool IsSelfDelimited(const HttpResponse& answer, bool to_head) {
  const auto lengths = answer.count(http::field::content_length);
  const auto codings = answer.count(http::field::transfer_encoding);
  if (lengths + codings > 1) {
    return false;
  }
  if (codings == 1) {
    return beast::iequals(answer[http::field::transfer_encoding], "chunked");
  }
  return lengths == 1 || to_head ||
         answer.result() == http::status::no_content ||
         answer.result() == http::status::not_modified;
}

}  // namespace

// Waits for room while little of the answer has been read. The connection is
// not read meanwhile, so the endpoint has to wait too.
class EndpointExchange::AnswerRoom {
 public:
  explicit AnswerRoom(EndpointExchange& exchange) : exchange_(exchange) {}

  asio::awaitable<bool> Take(MemoryAccount& memory, std::size_t bytes) {
    if (!memory.MayEverFit(bytes) || memory.bytes() > kMaxWaitingBytes) {
      co_return false;
    }
    asio::steady_timer timer(exchange_.executor_);
    while (!exchange_.aborted_) {
      if (memory.Resize(bytes)) {
        co_return true;
      }
      boost::system::error_code ec;
      timer.expires_after(kMemoryPollInterval);
      co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return false;
  }

 private:
  EndpointExchange& exchange_;
};

EndpointExchange::EndpointExchange(asio::any_io_executor executor,
                                   EndpointPool& pool,
                                   EndpointTarget target,
                                   ExchangeLimits limits,
                                   const ProtocolNames& names)
    : pool_(pool),
      target_(std::move(target)),
      limits_(limits),
      names_(names),
      executor_(executor),
      timer_(executor),
      peer_check_(executor),
      silence_(kUnacknowledgedTimeout) {}

void EndpointExchange::Abort(SendResult reason) {
  if (aborted_) {
    return;
  }
  aborted_ = reason;
  CloseConnection();
}

// A normal close is queued behind the bytes that the endpoint has not read yet,
// so an endpoint that has stopped reading would never notice it. A reset takes
// effect immediately.
void EndpointExchange::CloseConnection() {
  peer_check_.cancel();
  if (!connection_) {
    return;
  }
  boost::system::error_code ec;
  if (!wrote_all_) {
    connection_->socket().set_option(asio::socket_base::linger(true, 0), ec);
  }
  connection_->socket().close(ec);
}

void EndpointExchange::Cancel() {
  Abort(SendResult::kCancelled);
}

void EndpointExchange::StartTimer(TimePoint deadline) {
  timer_.expires_at(deadline);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec && self->timer_.expiry() <= Clock::now()) {
      self->Abort(SendResult::kTimedOut);
    }
  });
}

asio::awaitable<bool> EndpointExchange::Connect() {
  if (needs_.max_idle == Duration::zero()) {
    // An endpoint that may be unreachable may have dropped them silently.
    pool_.CloseIdle(target_.address);
  }
  connection_ = pool_.Take(target_, Clock::now(), needs_);
  if (connection_) {
    co_return true;
  }
  boost::system::error_code ec;
  const Tcp::endpoint peer(asio::ip::make_address(target_.address.ip, ec),
                           target_.address.port);
  if (ec) {
    co_return false;
  }
  connection_.emplace(Tcp::socket(executor_), pool_.memory());
  Tcp::socket& socket = connection_->socket();
  co_await socket.async_connect(peer,
                                asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    co_return false;
  }
  socket.set_option(Tcp::no_delay(true), ec);
  EnableLostConnectionDetection(socket.native_handle(), kUnacknowledgedTimeout);
  co_return true;
}

ExpectedAnswer EndpointExchange::Expect(std::string expected_call) const {
  using Kind = ExpectedAnswer::Kind;
  ExpectedAnswer expected;
  if (is_probe_) {
    expected.kind = Kind::kProbe;
  } else if (!expected_call.empty()) {
    expected.kind = Kind::kNamedCall;
    expected.call = std::move(expected_call);
  } else if (names_.callers_assign_call_ids) {
    expected.kind = Kind::kUnnamedCall;
  }
  return expected;
}

asio::awaitable<void> EndpointExchange::Write(const HttpRequest& request) {
  boost::system::error_code ec;
  writing_ = true;
  const std::size_t written =
      co_await http::async_write(connection_->socket(), request,
                                 asio::redirect_error(asio::use_awaitable, ec));
  writing_ = false;
  wrote_ = written > 0;
  wrote_all_ = !ec;
  bytes_ += written;
}

// The kernel's timeout also ends a connection whose peer acknowledges every
// window probe but has read nothing for that time. A request longer than the
// buffers of both kernels was cut off by it although the endpoint was about to
// read on. Once the peer has answered a window probe, this check replaces the
// timeout. Elsewhere, and for short requests, the timeout stays.
void EndpointExchange::WatchPeer() {
  peer_check_.expires_after(kPeerCheckInterval);
  peer_check_.async_wait(
      [self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && self->connection_ && !self->aborted_) {
          self->CheckPeer();
        }
      });
}

void EndpointExchange::CheckPeer() {
  const int socket = connection_->socket().native_handle();
  const std::optional<TcpProgress> progress = ReadTcpProgress(socket);
  if (!progress) {
    return;
  }
  if (silence_.IsSilent(*progress, Clock::now())) {
    Abort(SendResult::kBroken);
    return;
  }
  if (progress->has_pending && progress->has_answered_retry &&
      !is_timeout_off_) {
    is_timeout_off_ = true;
    SetUnacknowledgedTimeout(socket, std::chrono::milliseconds(0));
  }
  if (!progress->has_pending && !writing_) {
    // The endpoint's kernel has the whole request.
    RestoreTimeout();
    return;
  }
  WatchPeer();
}

void EndpointExchange::RestoreTimeout() {
  if (std::exchange(is_timeout_off_, false)) {
    SetUnacknowledgedTimeout(connection_->socket().native_handle(),
                             kUnacknowledgedTimeout);
  }
}

// Cancelling alone has no effect on a write that continues with its next part.
void EndpointExchange::StopWriting() {
  boost::system::error_code ec;
  reusable_ = false;
  connection_->socket().shutdown(Tcp::socket::shutdown_send, ec);
  connection_->socket().cancel(ec);
}

asio::awaitable<std::optional<HttpResponse>> EndpointExchange::SendAndRead(
    const HttpRequest& request) {
  if (request.body().size() > kMaxSingleWriteBytes) {
    co_return co_await SendLongAndRead(request);
  }
  co_await Write(request);
  if (!wrote_) {
    co_return std::nullopt;
  }
  co_return co_await ReadOwnAnswer(request.method() == http::verb::head);
}

// An endpoint may answer a long request before it has read all of it, and then
// stop reading. Unless answers are read meanwhile, the write would block until
// the deadline although the answer has already arrived. A late copy of another
// answer does not end the write.
asio::awaitable<std::optional<HttpResponse>> EndpointExchange::SendLongAndRead(
    const HttpRequest& request) {
  std::optional<HttpResponse> answer;
  bool is_read = false;
  asio::steady_timer read_end(executor_, TimePoint::max());
  asio::co_spawn(
      executor_, ReadOwnAnswer(request.method() == http::verb::head),
      [&, self = shared_from_this()](const std::exception_ptr&,
                                     std::optional<HttpResponse> own) {
        answer = std::move(own);
        is_read = true;
        read_end.cancel();
        if (self->writing_) {
          self->StopWriting();
        }
      });
  WatchPeer();
  co_await Write(request);
  while (!is_read) {
    boost::system::error_code ec;
    co_await read_end.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }
  co_return answer;
}

asio::awaitable<bool> EndpointExchange::ReadHead(AnswerParser& parser) {
  MeteredBuffer& buf = connection_->buffer();
  std::size_t end = std::string_view::npos;
  while ((end = buf.text().find(kEndOfHead)) == std::string_view::npos) {
    if (buf.size() > limits_.answer_header_bytes) {
      co_return false;
    }
    const ReadEnd more =
        co_await ReadMore(connection_->socket(), buf, kHeadPieceBytes);
    bytes_ += more.bytes;
    if (more.ec) {
      co_return false;
    }
  }
  const std::size_t size = end + kEndOfHead.size();
  if (!HasPlainFields(buf.text().substr(0, size)) ||
      !answer_memory_.Resize(kMemoryPerHeadByte * size)) {
    co_return false;
  }
  boost::system::error_code ec;
  parser.put(asio::const_buffer(buf.data().data(), size), ec);
  buf.Consume(size);
  const unsigned status = parser.get().result_int();
  co_return !ec && parser.is_header_done() &&
      (IsFinalStatus(status) || IsInterimStatus(status));
}

asio::awaitable<bool> EndpointExchange::ReadInto(AnswerParser& parser) {
  answer_memory_ = MemoryAccount(pool_.memory(), MemoryBudget::Source::kAnswer);
  const bool has_head = co_await ReadHead(parser);
  if (!has_head) {
    co_return false;
  }
  AnswerRoom room(*this);
  const bool is_taken = co_await TakeStatedBody(parser, answer_memory_, room);
  if (!is_taken) {
    Abort(SendResult::kCancelled);
    co_return false;
  }
  std::optional<http::fields> head;
  if (parser.chunked()) {
    head = parser.get();
  }
  const ReadEnd end =
      co_await ReadBody(connection_->socket(), connection_->buffer(), parser,
                        limits_.answer_bytes, answer_memory_, room);
  bytes_ += end.bytes;
  if (end.ec == boost::system::errc::not_enough_memory) {
    // The endpoint is not at fault.
    Abort(SendResult::kCancelled);
  }
  if (!end.ec && head) {
    // Without the trailers, which the parser has added.
    static_cast<http::fields&>(parser.get()) = std::move(*head);
  }
  co_return !end.ec;
}

// Returns null if no complete answer arrived.
asio::awaitable<std::optional<HttpResponse>> EndpointExchange::ReadAnswer(
    bool to_head) {
  for (int n = 0; n < kMaxInterimAnswers; ++n) {
    AnswerParser parser;
    parser.body_limit(limits_.answer_bytes);
    parser.header_limit(limits_.answer_header_bytes);
    parser.skip(to_head);
    const bool is_read = co_await ReadInto(parser);
    if (!is_read) {
      co_return std::nullopt;
    }
    if (IsInterimStatus(parser.get().result_int())) {
      continue;
    }
    const bool ends_at_close = parser.need_eof();
    if (!HasAcceptableEnd(parser.get(), to_head) ||
        (ends_at_close && !HasDeliveredRequest())) {
      co_return std::nullopt;
    }
    HttpResponse answer = parser.release();
    // Bytes after the answer do not belong to any request. A copy of the answer
    // to a HEAD request states a length but has no body, so it would be read
    // together with a part of the next answer.
    reusable_ = answer.keep_alive() && connection_->buffer().size() == 0 &&
                !(to_head && names_.may_duplicate_responses);
    stated_idle_ =
        ParseKeepAliveTimeout(FromBeast(answer[http::field::keep_alive]));
    co_return answer;
  }
  co_return std::nullopt;
}

// A reset is reported once, to the write if one is in progress; the read then
// sees a regular end. A reset always leaves a part of the request undelivered
// if the endpoint had not read all of it.
bool EndpointExchange::HasDeliveredRequest() {
  if (!wrote_all_) {
    return false;
  }
  const std::optional<TcpProgress> progress =
      ReadTcpProgress(connection_->socket().native_handle());
  return !progress || !progress->has_pending;
}

bool EndpointExchange::HasAcceptableEnd(const HttpResponse& answer,
                                        bool to_head) const {
  const bool has_no_end = answer.count(http::field::content_length) == 0 &&
                          answer.count(http::field::transfer_encoding) == 0;
  return IsSelfDelimited(answer, to_head) ||
         (has_no_end && names_.response_may_end_at_close);
}

AnswerTraits EndpointExchange::TraitsOf(const HttpResponse& answer) const {
  const SendResult result = ClassifyAnswer(answer);
  AnswerTraits traits;
  traits.call = FromBeast(answer[names_.call]);
  traits.names_endpoint = !answer[names_.answering_endpoint].empty();
  traits.has_load_report = !answer[names_.load].empty();
  traits.is_misdirected = result == SendResult::kMisdirected;
  traits.is_refusal = traits.is_misdirected || result == SendResult::kShed;
  return traits;
}

// An endpoint may answer a request twice, and the second answer is then read in
// place of the next request's answer. Without skipping it, that caller would be
// told that the outcome is unknown although its answer follows directly.
asio::awaitable<std::optional<HttpResponse>> EndpointExchange::ReadOwnAnswer(
    bool to_head) {
  for (int n = 0; n < kMaxStrayAnswers; ++n) {
    std::optional<HttpResponse> answer = co_await ReadAnswer(to_head);
    if (!answer) {
      co_return std::nullopt;
    }
    const AnswerTraits traits = TraitsOf(*answer);
    const AnswerMatch match = connection_->answers().Match(traits);
    if (match == AnswerMatch::kOwn) {
      co_return answer;
    }
    strays_.push_back({match, answer->result_int(), std::string(traits.call),
                       traits.is_refusal});
    if (match == AnswerMatch::kUnattributable ||
        !names_.may_duplicate_responses || !answer->keep_alive()) {
      co_return std::nullopt;
    }
  }
  co_return std::nullopt;
}

std::optional<EndpointReport> EndpointExchange::ReadReport(
    const HttpResponse& answer) const {
  const auto load = FromBeast(answer[names_.load]);
  if (load.empty()) {
    return std::nullopt;
  }
  const TimePoint now = Clock::now();
  std::optional<EndpointReport> report = names_.positional_load_header
                                             ? ParseEndpointLoadList(load, now)
                                             : ParseEndpointLoad(load, now);
  if (report) {
    report->cold_for = ParseColdTime(FromBeast(answer[names_.cold_for]));
    report->asked_before = now - started_at_;
  }
  return report;
}

// An endpoint that refuses a call meant for another endpoint also states that
// it did not run it. When this was treated as overload, the next calls were
// sent to the same address, and its answers to probes made it look idle, which
// attracted further calls.
bool EndpointExchange::IsMisdirected(const HttpResponse& answer) const {
  if (!is_probe_) {
    return answer.result() == http::status::misdirected_request &&
           !names_.expected_endpoint.empty();
  }
  const auto named = FromBeast(answer[names_.answering_endpoint]);
  return !named.empty() && named != target_.id.text();
}

SendResult EndpointExchange::ClassifyAnswer(const HttpResponse& answer) const {
  if (IsMisdirected(answer)) {
    return SendResult::kMisdirected;
  }
  const bool is_error = answer.result_int() >= kFirstClientError;
  if (is_error && answer[names_.shed] == "1") {
    return SendResult::kShed;
  }
  return answer.result_int() >= kFirstServerError ? SendResult::kFailed
                                                  : SendResult::kAnswered;
}

asio::awaitable<SendResult> EndpointExchange::Transfer(
    const HttpRequest& request,
    ExchangeResult& out) {
  std::optional<HttpResponse> answer = co_await SendAndRead(request);
  if (!wrote_) {
    co_return SendResult::kNotConnected;
  }
  reusable_ = reusable_ && wrote_all_ && connection_->answers().is_settled();
  if (!answer) {
    reusable_ = false;
    co_return SendResult::kBroken;
  }
  LogUnknownHeaders(*answer, names_);
  const SendResult result = ClassifyAnswer(*answer);
  if (result != SendResult::kMisdirected) {
    out.report = ReadReport(*answer);
    out.signals = ReadEndpointSignals(*answer, names_);
  }
  out.answer = std::move(answer);
  out.memory = std::move(answer_memory_);
  co_return result;
}

// Returns the result to report if the exchange was aborted.
SendResult EndpointExchange::FinalResult(SendResult result,
                                         bool has_answer) const {
  if (!aborted_ || has_answer) {
    return result;
  }
  // A connect timeout is the endpoint's fault; the call's deadline is not.
  const bool is_late_connect =
      !wrote_ && *aborted_ == SendResult::kTimedOut && Clock::now() < deadline_;
  return is_late_connect ? SendResult::kNotConnected : *aborted_;
}

void EndpointExchange::ReleaseConnection(bool draining) {
  if (reusable_ && !aborted_ && !draining) {
    peer_check_.cancel();
    RestoreTimeout();
    connection_->buffer().Shrink();
    pool_.Put(target_, std::move(*connection_), Clock::now(), stated_idle_);
    connection_.reset();
    return;
  }
  pool_.Discard(target_.address);
  CloseConnection();
  if (draining) {
    pool_.CloseIdle(target_.address);
  }
}

asio::awaitable<ExchangeResult> EndpointExchange::Run(
    const HttpRequest& request,
    TimePoint deadline,
    std::string expected_call) {
  started_at_ = Clock::now();
  ExchangeResult out;
  deadline_ = deadline;
  StartTimer(std::min(deadline, started_at_ + limits_.connect_timeout));
  ExpectedAnswer expected = Expect(std::move(expected_call));
  needs_.call = expected.call;
  // A copy of an earlier refusal that names no call would refuse this call.
  needs_.needs_certainty =
      !is_probe_ && expected.kind != ExpectedAnswer::Kind::kNextAnswer;
  const bool connected = co_await Connect();
  if (connected && !aborted_) {
    StartTimer(deadline);
    out.connection = connection_->id();
    connection_->answers().Expect(std::move(expected));
    out.result = co_await Transfer(request, out);
  }
  timer_.expires_at(TimePoint::max());
  out.result = FinalResult(out.result, out.answer.has_value());
  out.wrote = wrote_;
  out.bytes = bytes_;
  out.strays = std::move(strays_);
  out.took = Clock::now() - started_at_;
  const bool is_draining =
      (out.report && out.report->mode == EndpointMode::kDraining) ||
      (out.signals && out.signals->leaving);
  ReleaseConnection(is_draining);
  answer_memory_.Release();
  aborted_ = SendResult::kCancelled;
  co_return out;
}

}  // namespace damasktack
