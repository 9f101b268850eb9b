#include "tests/soak/soak_endpoint.h"

#include <httplib.h>

#include <random>

namespace damasktack {

namespace {

constexpr auto kCallIdHeader = "X-Damasktack-Request-Id";
constexpr int kSlots = 6;
// Each open connection occupies one thread of the HTTP server.
constexpr std::size_t kThreads = 64;
constexpr int kMinWorkMs = 3;
constexpr int kMaxWorkMs = 30;

}  // namespace

SoakEndpoint::SoakEndpoint(std::string id,
                           std::string service,
                           SoakRecorder& ledger)
    : service_(std::move(service)),
      ledger_(ledger),
      id_(std::move(id)),
      server_(std::make_unique<httplib::Server>()) {
  server_->new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server_->set_keep_alive_max_count(100'000);
  server_->set_keep_alive_timeout(10);
  server_->Get("/health",
               [this](const httplib::Request&, httplib::Response& res) {
                 res.set_header("X-Damasktack-Instance-Id", this->id());
                 res.set_header("X-Damasktack-Server-Load", LoadHeader());
               });
  const auto serve = [this](const httplib::Request& req,
                            httplib::Response& res) { Serve(req, res); };
  server_->Get("/.*", serve);
  server_->Post("/.*", serve);
  port_ = static_cast<std::uint16_t>(server_->bind_to_any_port("127.0.0.1"));
  thread_ = std::thread([this] { server_->listen_after_bind(); });
  while (!server_->is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

SoakEndpoint::~SoakEndpoint() {
  server_->stop();
  thread_.join();
}

std::string SoakEndpoint::id() const {
  const std::lock_guard lock(mutex_);
  return id_;
}

void SoakEndpoint::SetNewIdentity(const std::string& id) {
  const std::lock_guard lock(mutex_);
  id_ = id;
  is_leaving_ = false;
}

std::string SoakEndpoint::LoadHeader() const {
  return std::to_string(running_) + ",0," + std::to_string(kSlots) + "," +
         std::to_string(100 * slowdown_);
}

void SoakEndpoint::SetLimitHeaders(httplib::Response& res) const {
  if (rate_limit_ > 0) {
    res.set_header("X-Damasktack-Server-Limit", std::to_string(rate_limit_));
  }
  if (is_leaving_) {
    res.set_header("X-Damasktack-Server-Leaving", "1");
  }
}

void SoakEndpoint::Serve(const httplib::Request& req, httplib::Response& res) {
  const std::string call = req.get_header_value(kCallIdHeader);
  res.set_header(kCallIdHeader, call);
  res.set_header("X-Damasktack-Server-Load", LoadHeader());
  const auto refuse = [&](int status) {
    res.status = status;
    res.set_header("X-Damasktack-Not-Executed", "1");
  };
  if (req.get_header_value("X-Damasktack-Target-Instance") != id()) {
    refuse(421);
    return;
  }
  ++arrivals_;
  SetLimitHeaders(res);
  ledger_.RecordArrival(call);
  if (is_forbidden_) {
    ledger_.AddViolation(call + ": reached " + id() + " after it had left");
  }
  if (is_full_ || running_ >= kSlots) {
    refuse(503);
    if (retry_after_seconds_ > 0) {
      res.set_header("Retry-After", std::to_string(retry_after_seconds_));
    }
    return;
  }
  ++running_;
  ledger_.RecordRun(call);
  thread_local std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> ms(kMinWorkMs, kMaxWorkMs);
  std::this_thread::sleep_for(
      std::chrono::milliseconds(ms(random) * slowdown_));
  --running_;
  res.set_content("ran " + call + " at " + service_, "text/plain");
}

}  // namespace damasktack
