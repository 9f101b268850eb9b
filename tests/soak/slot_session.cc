#include "tests/soak/slot_session.h"

#include <utility>

namespace damasktack {

namespace http = boost::beast::http;

namespace {

constexpr auto kCallIdHeader = "X-Damasktack-Request-Id";
constexpr auto kTargetInstanceHeader = "X-Damasktack-Target-Instance";

}  // namespace

SlotSession::SlotSession(SlotEndpoint& endpoint,
                         boost::asio::ip::tcp::socket socket)
    : endpoint_(endpoint),
      socket_(std::move(socket)),
      work_(socket_.get_executor()) {
  boost::system::error_code ec;
  socket_.set_option(boost::asio::ip::tcp::no_delay(true), ec);
}

void SlotSession::Read() {
  state_ = State::kIdle;
  request_ = {};
  http::async_read(socket_, buf_, request_,
                   [self = shared_from_this()](boost::system::error_code ec,
                                               std::size_t /*bytes*/) {
                     if (!ec) {
                       self->OnRequest();
                     }
                   });
}

void SlotSession::OnRequest() {
  if (request_.target() == "/health") {
    AnswerProbe();
    return;
  }
  if (request_[kTargetInstanceHeader] != endpoint_.id()) {
    Response refusal = MakeAnswer(http::status::misdirected_request);
    refusal.set("X-Damasktack-Not-Executed", "1");
    Answer(std::move(refusal));
    return;
  }
  endpoint_.CountArrival(Clock::now());
  const auto admission = endpoint_.Admit(shared_from_this());
  if (admission == SlotEndpoint::Admission::kFull) {
    Reset();
    return;
  }
  state_ = State::kWaiting;
  WatchForClose();
  if (admission == SlotEndpoint::Admission::kStarted) {
    Run();
  }
}

void SlotSession::Run() {
  state_ = State::kRunning;
  work_.expires_after(endpoint_.WorkTime(Clock::now()));
  work_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (ec || self->state_ != State::kRunning) {
      return;
    }
    self->state_ = State::kIdle;
    self->endpoint_.Release(self, true);
    self->socket_.cancel(ec);
    Response answer = self->MakeAnswer(http::status::ok);
    answer.body() =
        "ran " + std::string(self->request_[kCallIdHeader]) + " at c";
    self->Answer(std::move(answer));
  });
}

// The client sends nothing while its request is processed, so the connection
// becomes readable only when the client has closed it.
void SlotSession::WatchForClose() {
  socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [self = shared_from_this()](boost::system::error_code ec) {
                       const bool is_pending =
                           self->state_ == State::kWaiting ||
                           self->state_ == State::kRunning;
                       if (ec || !is_pending) {
                         return;
                       }
                       const bool was_running = self->state_ == State::kRunning;
                       self->state_ = State::kClosed;
                       self->work_.cancel();
                       self->socket_.close(ec);
                       self->endpoint_.Release(self, was_running);
                     });
}

void SlotSession::Reset() {
  state_ = State::kClosed;
  boost::system::error_code ec;
  socket_.set_option(boost::asio::socket_base::linger(true, 0), ec);
  socket_.close(ec);
}

void SlotSession::AnswerProbe() {
  Response answer = MakeAnswer(http::status::ok);
  answer.set("X-Damasktack-Instance-Id", endpoint_.id());
  const auto cold = std::chrono::duration_cast<std::chrono::milliseconds>(
      endpoint_.RemainingColdTime(Clock::now()));
  answer.set("X-Damasktack-Cold-Ms", std::to_string(cold.count()));
  Answer(std::move(answer));
}

SlotSession::Response SlotSession::MakeAnswer(http::status status) const {
  Response answer(status, 11);
  answer.set("X-Damasktack-Server-Load", endpoint_.LoadHeader());
  answer.set(kCallIdHeader, request_[kCallIdHeader]);
  return answer;
}

void SlotSession::Answer(Response answer) {
  answer_ = std::move(answer);
  answer_.prepare_payload();
  http::async_write(socket_, answer_,
                    [self = shared_from_this()](boost::system::error_code ec,
                                                std::size_t /*bytes*/) {
                      if (!ec) {
                        self->Read();
                      }
                    });
}

}  // namespace damasktack
