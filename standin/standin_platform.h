#ifndef STANDIN_STANDIN_PLATFORM_H_
#define STANDIN_STANDIN_PLATFORM_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "core/time.h"
#include "standin/standin_loop.h"

namespace damasktack {

// Simulates the platform's configuration service: serves documents for reads
// and for watches by revision. Tests inject faults with SetFault.
class StandinPlatform {
 public:
  enum class Fault : std::uint8_t {
    kNone,
    // Responds with status 503.
    kDown,
    // Delays each response by one second.
    kSlow,
    // Refuses connections and closes existing ones, including waiting watches.
    kRefusing,
    // Serves the value before the last one, with its own revision.
    kStale,
    // Sends half of each body, then closes the connection.
    kHalfBody,
  };

  StandinPlatform();
  ~StandinPlatform();

  // Serves on 127.0.0.1; port 0 selects a free port. Returns the port, or 0 if
  // it cannot be bound.
  std::uint16_t Start(std::uint16_t port);
  void Stop();

  // Publishes with the next revision and returns that revision.
  std::uint64_t Publish(const std::string& name, std::string body);
  // Publishes with the given revision, which may be older than the last one.
  void PublishAs(const std::string& name,
                 std::uint64_t revision,
                 std::string body);
  // Delays by `lag` when readers see a newly published "hosts" document.
  void SetHostsLag(Duration lag);
  void SetFault(Fault fault);
  // Number of reads and watches received so far.
  std::uint64_t reads() const { return reads_; }
  // Number of watches that are waiting.
  std::uint64_t waiting() const { return waiting_; }

 private:
  struct Backend;
  struct Value {
    std::uint64_t revision = 0;
    std::string body;
    TimePoint visible_from;
  };

  void Put(const std::string& name, Value value);
  // Returns the value that a reader gets now, or revision 0 if there is none.
  Value VisibleValue(const std::string& name) const;
  Fault fault() const;

  std::shared_ptr<StandinLoop> loop_;
  mutable std::mutex mutex_;
  // The last two values of each document, oldest first.
  std::map<std::string, std::vector<Value>> values_;
  Fault fault_ = Fault::kNone;
  Duration hosts_lag_{};
  std::atomic<std::uint64_t> reads_ = 0;
  std::atomic<std::uint64_t> waiting_ = 0;
  std::unique_ptr<Backend> backend_;
};

}  // namespace damasktack

#endif  // STANDIN_STANDIN_PLATFORM_H_
