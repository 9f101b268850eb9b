#ifndef TESTS_SOAK_SLOT_ENDPOINT_H_
#define TESTS_SOAK_SLOT_ENDPOINT_H_

#include <atomic>
#include <boost/asio.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "core/time.h"

namespace damasktack {

class SlotSession;

// Simulates an endpoint that can become cold. It processes one request per
// slot, queues a few more, resets the connections of the rest, and drops a
// request when its connection closes. Counts the requests that arrive while it
// is cold. Connections are served by the thread that runs the context; the
// public functions may be called from other threads.
class SlotEndpoint {
 public:
  SlotEndpoint(std::string id, boost::asio::io_context& context);
  ~SlotEndpoint();

  const std::string& id() const { return id_; }
  std::uint16_t port() const { return port_; }
  static constexpr int kSlots = 2;

  // Makes the endpoint cold for `length`: requests take longer, and responses
  // to probes report the remaining time.
  void BecomeCold(Duration length);
  // Returns for how much longer the endpoint stays cold; zero if it is not
  // cold.
  Duration RemainingColdTime(TimePoint now) const;
  // Largest number of requests that arrived within one second while it was
  // cold.
  std::size_t peak_cold_rate() const;

 private:
  friend class SlotSession;
  using Tcp = boost::asio::ip::tcp;

  enum class Admission : std::uint8_t { kStarted, kQueued, kFull };

  void Accept();
  // Counts a request whose target header names this endpoint.
  void CountArrival(TimePoint now);
  Admission Admit(const std::shared_ptr<SlotSession>& session);
  // Frees the slot or the queue entry of a session whose request has ended or
  // whose connection has closed, and starts the next queued request.
  void Release(const std::shared_ptr<SlotSession>& session, bool was_running);
  Duration WorkTime(TimePoint now) const;
  std::string LoadHeader() const;

  const std::string id_;
  Tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  int running_ = 0;
  std::deque<std::shared_ptr<SlotSession>> waiting_;

  mutable std::mutex mutex_;
  TimePoint cold_until_;
  std::deque<TimePoint> arrivals_;
  std::size_t peak_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SLOT_ENDPOINT_H_
