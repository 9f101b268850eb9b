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

// An endpoint of a service whose endpoints become cold: it works on as many
// requests at a time as it has slots, keeps a few more waiting, resets the
// connections of others, and drops a request when its connection closes. Counts
// what arrives while it is cold. Its connections are served by the thread that
// runs the context; the public functions may be called from others.
class SlotEndpoint {
 public:
  SlotEndpoint(std::string id, boost::asio::io_context& context);
  ~SlotEndpoint();

  const std::string& id() const { return id_; }
  std::uint16_t port() const { return port_; }
  static constexpr int kSlots = 2;

  // From now on and for so long work takes longer, and probes are told so.
  void BecomeCold(Duration length);
  // How much longer it stays cold; zero where it is not.
  Duration ColdLeft(TimePoint now) const;
  // The most requests that arrived within a second while it was cold.
  std::size_t worst_cold_second() const;

 private:
  friend class SlotSession;
  using Tcp = boost::asio::ip::tcp;

  enum class Entry : std::uint8_t { kRuns, kWaits, kFull };

  void Accept();
  // A request that names this endpoint.
  void CountArrival(TimePoint now);
  Entry Enter(const std::shared_ptr<SlotSession>& session);
  // The session's request has ended or its connection has closed.
  void Leave(const std::shared_ptr<SlotSession>& session, bool was_running);
  Duration WorkTime(TimePoint now) const;
  std::string Load() const;

  const std::string id_;
  Tcp::acceptor acceptor_;
  std::uint16_t port_ = 0;
  int running_ = 0;
  std::deque<std::shared_ptr<SlotSession>> waiting_;

  mutable std::mutex mutex_;
  TimePoint cold_until_;
  std::deque<TimePoint> arrivals_;
  std::size_t worst_ = 0;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SLOT_ENDPOINT_H_
