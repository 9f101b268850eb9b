#include "tests/soak/cold_callers.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <utility>

namespace damasktack {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds kDeadline(1200);

// Sends one call on its own connection, which is closed after `close_after`.
class OneCall : public std::enable_shared_from_this<OneCall> {
 public:
  OneCall(boost::asio::io_context& context, std::atomic<int>* served)
      : socket_(context), timer_(context), served_(served) {}

  void Start(const SocketAddress& host,
             const std::string& name,
             Duration close_after) {
    request_ = {http::verb::get, "/cold/" + name, 11};
    request_.set(http::field::host, "soak.example");
    request_.set("X-Damasktack-Request-Id", name);
    request_.set("X-Damasktack-Deadline-Ms", std::to_string(kDeadline.count()));
    timer_.expires_after(close_after);
    timer_.async_wait([self = shared_from_this()](boost::system::error_code) {
      boost::system::error_code ec;
      self->socket_.close(ec);
    });
    const tcp::endpoint peer(boost::asio::ip::make_address(host.ip), host.port);
    socket_.async_connect(
        peer, [self = shared_from_this()](boost::system::error_code ec) {
          ec ? self->End() : self->Write();
        });
  }

 private:
  void Write() {
    http::async_write(socket_, request_,
                      [self = shared_from_this()](boost::system::error_code ec,
                                                  std::size_t /*bytes*/) {
                        ec ? self->End() : self->Read();
                      });
  }
  void Read() {
    http::async_read(socket_, buf_, answer_,
                     [self = shared_from_this()](boost::system::error_code ec,
                                                 std::size_t /*bytes*/) {
                       const bool is_served =
                           !ec && self->answer_.result() == http::status::ok;
                       if (is_served && self->served_ != nullptr) {
                         ++*self->served_;
                       }
                       self->End();
                     });
  }
  void End() { timer_.cancel(); }

  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buf_;
  http::request<http::empty_body> request_;
  http::response<http::string_body> answer_;
  // Null if the caller disconnects early, so that its response isn't counted.
  std::atomic<int>* served_;
};

}  // namespace

ColdCallers::ColdCallers(std::vector<SocketAddress> hosts,
                         const ColdCallersPlan& plan)
    : hosts_(std::move(hosts)),
      plan_(plan),
      random_(plan.seed),
      next_(context_) {
  ScheduleNext();
  thread_ = std::thread([this] { context_.run(); });
}

ColdCallers::~ColdCallers() {
  Stop();
}

void ColdCallers::Stop() {
  context_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ColdCallers::ScheduleNext() {
  std::exponential_distribution<double> gap(plan_.calls_per_second);
  const std::chrono::duration<double> wait(gap(random_));
  next_.expires_after(std::chrono::duration_cast<Duration>(wait));
  next_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Call();
      ScheduleNext();
    }
  });
}

void ColdCallers::Call() {
  const bool leaves =
      std::bernoulli_distribution(plan_.leaving_fraction)(random_);
  stayed_ += leaves ? 0 : 1;
  const std::string name =
      "x" + std::to_string(plan_.seed) + "-" + std::to_string(++calls_);
  std::make_shared<OneCall>(context_, leaves ? nullptr : &served_)
      ->Start(hosts_[random_() % hosts_.size()], name,
              leaves ? plan_.leave_after : Duration(kDeadline));
}

}  // namespace damasktack
