#include "tests/soak/slot_endpoint.h"

#include <algorithm>
#include <utility>

#include "tests/soak/slot_session.h"

namespace damasktack {

namespace {

constexpr std::size_t kQueueCapacity = 8;
constexpr Duration kWorkTime = std::chrono::milliseconds(220);
constexpr int kColdFactor = 2;

}  // namespace

SlotEndpoint::SlotEndpoint(std::string id, boost::asio::io_context& context)
    : id_(std::move(id)),
      acceptor_(context,
                Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      port_(acceptor_.local_endpoint().port()) {
  Accept();
}

SlotEndpoint::~SlotEndpoint() = default;

void SlotEndpoint::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code ec, Tcp::socket socket) {
        if (!ec) {
          std::make_shared<SlotSession>(*this, std::move(socket))->Read();
        }
        if (acceptor_.is_open()) {
          Accept();
        }
      });
}

void SlotEndpoint::BecomeCold(Duration length) {
  const std::lock_guard lock(mutex_);
  cold_until_ = Clock::now() + length;
  arrivals_.clear();
}

Duration SlotEndpoint::RemainingColdTime(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return std::max<Duration>(cold_until_ - now, Duration::zero());
}

std::size_t SlotEndpoint::peak_cold_rate() const {
  const std::lock_guard lock(mutex_);
  return peak_;
}

void SlotEndpoint::CountArrival(TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (now >= cold_until_) {
    return;
  }
  arrivals_.push_back(now);
  while (now - arrivals_.front() >= std::chrono::seconds(1)) {
    arrivals_.pop_front();
  }
  peak_ = std::max(peak_, arrivals_.size());
}

SlotEndpoint::Admission SlotEndpoint::Admit(
    const std::shared_ptr<SlotSession>& session) {
  if (running_ < kSlots) {
    ++running_;
    return Admission::kStarted;
  }
  if (waiting_.size() >= kQueueCapacity) {
    return Admission::kFull;
  }
  waiting_.push_back(session);
  return Admission::kQueued;
}

void SlotEndpoint::Release(const std::shared_ptr<SlotSession>& session,
                           bool was_running) {
  if (!was_running) {
    std::erase(waiting_, session);
    return;
  }
  --running_;
  if (!waiting_.empty()) {
    const std::shared_ptr<SlotSession> next = waiting_.front();
    waiting_.pop_front();
    ++running_;
    next->Run();
  }
}

Duration SlotEndpoint::WorkTime(TimePoint now) const {
  return RemainingColdTime(now) > Duration::zero() ? kWorkTime * kColdFactor
                                                   : kWorkTime;
}

std::string SlotEndpoint::LoadHeader() const {
  return std::to_string(running_) + "," + std::to_string(waiting_.size()) +
         "," + std::to_string(kSlots) + ",100";
}

}  // namespace damasktack
