#include "proxy/endpoint_exchange.h"

#include <algorithm>
#include <utility>

#include "core/tcp_liveness.h"
#include "proxy/endpoint_report_codec.h"
#include "proxy/endpoint_signals_codec.h"
#include "proxy/unknown_headers.h"

namespace damasktack {

namespace {

constexpr unsigned kFirstClientError = 400;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kInformational = 1;
// More interim answers than this before the final one are a fault.
constexpr int kMostInterim = 16;
// How recently a connection was used that counts as young.
constexpr Duration kYoung = std::chrono::milliseconds(1000);
// Answers to other calls that are passed over before the connection is given
// up.
constexpr int kMostStrays = 4;
// Bytes that an endpoint's kernel has not acknowledged for so long show that
// the path has lost the connection; three retransmissions lie within it. Calls
// went out on connections that had been lost while they idled, and their
// callers waited for their whole time.
constexpr std::chrono::milliseconds kUnacknowledged(1000);
// A request up to this size fits into the kernel's buffers, so that writing it
// never waits for the endpoint.
constexpr std::size_t kOneWrite = 16U << 10U;

// Whether the end of the answer can be told from a connection that broke. An
// answer that ends with the connection, or two readers of which would see two
// ends, cannot be passed on as whole.
bool EndIsMarked(const HttpResponse& answer, bool to_head) {
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

EndpointExchange::EndpointExchange(asio::any_io_executor executor,
                                   EndpointPool& pool,
                                   EndpointTarget target,
                                   ExchangeLimits limits,
                                   const ProtocolNames& names)
    : pool_(pool),
      target_(std::move(target)),
      limits_(limits),
      names_(names),
      socket_(executor),
      timer_(executor) {}

void EndpointExchange::Abort(SendResult reason) {
  if (aborted_) {
    return;
  }
  aborted_ = reason;
  CloseConnection();
}

// A plain close stands in line behind the bytes that the endpoint has not read
// yet, so an endpoint that reads no more would never learn of it; a reset
// overtakes them.
void EndpointExchange::CloseConnection() {
  boost::system::error_code ec;
  if (!wrote_all_) {
    socket_.set_option(asio::socket_base::linger(true, 0), ec);
  }
  socket_.close(ec);
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
  const TimePoint now = Clock::now();
  std::optional<Tcp::socket> idle = young_only_
                                        ? pool_.TakeYoung(target_, kYoung, now)
                                        : pool_.Take(target_, now);
  if (idle) {
    socket_ = std::move(*idle);
    co_return true;
  }
  boost::system::error_code ec;
  const Tcp::endpoint peer(asio::ip::make_address(target_.address.ip, ec),
                           target_.address.port);
  if (ec) {
    co_return false;
  }
  co_await socket_.async_connect(peer,
                                 asio::redirect_error(asio::use_awaitable, ec));
  if (ec) {
    co_return false;
  }
  socket_.set_option(Tcp::no_delay(true), ec);
  EnableLostConnectionDetection(socket_.native_handle(), kUnacknowledged);
  co_return true;
}

// An endpoint may answer before it has read a long request, and read no more
// of it: without a look at the other direction the write would wait until the
// deadline for an answer that is already there.
void EndpointExchange::WatchForEarlyAnswer() {
  socket_.async_wait(Tcp::socket::wait_read,
                     [self = shared_from_this()](boost::system::error_code ec) {
                       if (!ec && self->writing_) {
                         self->socket_.cancel(ec);
                       }
                     });
}

// True where the whole request was written.
asio::awaitable<bool> EndpointExchange::Send(const HttpRequest& request) {
  boost::system::error_code ec;
  writing_ = true;
  const bool is_long = request.body().size() > kOneWrite;
  if (is_long) {
    WatchForEarlyAnswer();
  }
  const std::size_t written = co_await http::async_write(
      socket_, request, asio::redirect_error(asio::use_awaitable, ec));
  writing_ = false;
  if (is_long) {
    boost::system::error_code ignored;
    socket_.cancel(ignored);
  }
  wrote_ = written > 0;
  wrote_all_ = !ec;
  bytes_ += written;
  co_return wrote_all_;
}

// Null where no whole answer came.
asio::awaitable<std::optional<HttpResponse>> EndpointExchange::ReadAnswer(
    bool to_head) {
  for (int n = 0; n < kMostInterim; ++n) {
    http::response_parser<http::string_body> parser;
    parser.body_limit(limits_.answer_bytes);
    parser.header_limit(limits_.answer_header_bytes);
    parser.skip(to_head);
    boost::system::error_code ec;
    bytes_ += co_await http::async_read(
        socket_, buf_, parser, asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return std::nullopt;
    }
    if (parser.get().result_int() / 100 == kInformational) {
      continue;
    }
    if (!EndIsKnown(parser.get(), to_head)) {
      co_return std::nullopt;
    }
    HttpResponse answer = parser.release();
    // Bytes beyond the answer belong to nothing that was asked.
    reusable_ = answer.keep_alive() && buf_.size() == 0;
    stated_idle_ =
        ParseKeepAliveTimeout(FromBeast(answer[http::field::keep_alive]));
    co_return answer;
  }
  co_return std::nullopt;
}

bool EndpointExchange::EndIsKnown(const HttpResponse& answer,
                                  bool to_head) const {
  const bool has_no_end = answer.count(http::field::content_length) == 0 &&
                          answer.count(http::field::transfer_encoding) == 0;
  return EndIsMarked(answer, to_head) ||
         (has_no_end && names_.response_may_end_at_close);
}

// An endpoint may answer a call twice, and the second answer then stands where
// the next call's is due: its caller would be told that the outcome is not
// known although its own answer is right behind.
asio::awaitable<std::optional<HttpResponse>> EndpointExchange::ReadOwnAnswer(
    bool to_head,
    const std::string& expected_call) {
  for (int n = 0; n < kMostStrays; ++n) {
    std::optional<HttpResponse> answer = co_await ReadAnswer(to_head);
    if (!answer || expected_call.empty()) {
      co_return answer;
    }
    const auto named = FromBeast((*answer)[names_.call]);
    if (named == expected_call) {
      co_return answer;
    }
    const bool is_refusal = Judge(*answer) == SendResult::kShed ||
                            Judge(*answer) == SendResult::kMisdirected;
    if (named.empty() && is_refusal) {
      co_return answer;
    }
    if (named.empty() || !names_.may_duplicate_responses ||
        !answer->keep_alive()) {
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

// An endpoint that refuses what was meant for another also says that it did not
// run it. Taken for one that is full, it was asked again by the next calls; and
// a probe's answer had it look free, which drew them there.
bool EndpointExchange::IsFromAnother(const HttpResponse& answer) const {
  if (answer.result() == http::status::misdirected_request &&
      !names_.expected_endpoint.empty()) {
    return true;
  }
  const auto named = FromBeast(answer[names_.answering_endpoint]);
  return !named.empty() && named != target_.id.text();
}

SendResult EndpointExchange::Judge(const HttpResponse& answer) const {
  if (IsFromAnother(answer)) {
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
    const std::string& expected_call,
    ExchangeResult& out) {
  const bool sent_whole = co_await Send(request);
  if (!wrote_) {
    co_return SendResult::kNotConnected;
  }
  const bool to_head = request.method() == http::verb::head;
  std::optional<HttpResponse> answer =
      co_await ReadOwnAnswer(to_head, expected_call);
  reusable_ = reusable_ && sent_whole;
  if (!answer) {
    co_return SendResult::kBroken;
  }
  LogUnknownHeaders(*answer, names_);
  const SendResult result = Judge(*answer);
  if (result != SendResult::kMisdirected) {
    out.report = ReadReport(*answer);
    out.signals = ReadEndpointSignals(*answer, names_);
  }
  out.answer = std::move(answer);
  co_return result;
}

// What is reported where something ended the exchange from outside.
SendResult EndpointExchange::ResultOf(SendResult result,
                                      bool has_answer) const {
  if (!aborted_ || has_answer) {
    return result;
  }
  // The time to connect is the endpoint's fault, the deadline is not.
  const bool is_late_connect =
      !wrote_ && *aborted_ == SendResult::kTimedOut && Clock::now() < deadline_;
  return is_late_connect ? SendResult::kNotConnected : *aborted_;
}

void EndpointExchange::GiveBackConnection(bool draining) {
  if (reusable_ && !aborted_ && !draining) {
    pool_.Put(target_, std::move(socket_), Clock::now(), stated_idle_);
    return;
  }
  pool_.Lose(target_.address);
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
  const bool connected = co_await Connect();
  if (connected && !aborted_) {
    StartTimer(deadline);
    out.result = co_await Transfer(request, expected_call, out);
  }
  timer_.expires_at(TimePoint::max());
  out.result = ResultOf(out.result, out.answer.has_value());
  out.wrote = wrote_;
  out.bytes = bytes_;
  out.took = Clock::now() - started_at_;
  const bool is_draining =
      (out.report && out.report->mode == EndpointMode::kDraining) ||
      (out.signals && out.signals->leaving);
  GiveBackConnection(is_draining);
  aborted_ = SendResult::kCancelled;
  co_return out;
}

}  // namespace damasktack
