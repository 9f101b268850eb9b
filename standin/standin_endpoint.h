#ifndef STANDIN_STANDIN_ENDPOINT_H_
#define STANDIN_STANDIN_ENDPOINT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/time.h"
#include "standin/endpoint_faults.h"
#include "standin/execution_log.h"
#include "standin/service_time.h"
#include "standin/standin_loop.h"

namespace damasktack {

struct StandinEndpointOptions {
  std::int32_t slots = 6;
  // Mean of the exponential service time, unless `shape` is given.
  Duration service_time = std::chrono::milliseconds(5);
  std::optional<ServiceTime> shape;
  // Maximum number of queued calls; the endpoint sheds further ones.
  std::int32_t queue = 64;
  // Time after the start during which the endpoint reports "starting" and calls
  // take `cold_slowdown` times as long.
  Duration cold_start{};
  double cold_slowdown = 4;
  std::uint64_t seed = 1;
};

// Counters of calls by outcome, probes and connections.
struct StandinEndpointCounts {
  std::uint64_t executions = 0;
  std::uint64_t shed = 0;
  // Got status 500 because of a fault, without running.
  std::uint64_t failed = 0;
  // Removed from the queue because the connection closed (cancelled) or the
  // deadline passed (expired).
  std::uint64_t cancelled_queued = 0;
  std::uint64_t expired_queued = 0;
  // Executed, but the connection closed before the end.
  std::uint64_t cancelled_running = 0;
  std::uint64_t probes = 0;
  std::uint64_t connections = 0;
};

// Simulates one endpoint over HTTP: serves calls in order of arrival in a fixed
// number of slots, reports its load on responses, sheds calls when its queue is
// full, honours deadlines and cancellation, and injects the configured faults.
class StandinEndpoint {
 public:
  explicit StandinEndpoint(StandinEndpointOptions options);
  // Shares the loop's thread and the log with other endpoints.
  StandinEndpoint(StandinEndpointOptions options,
                  std::shared_ptr<StandinLoop> loop,
                  std::shared_ptr<ExecutionLog> log);
  ~StandinEndpoint();

  // Serves on 127.0.0.1; port 0 selects a free port. Returns the port, or 0 if
  // it cannot be bound.
  std::uint16_t Start(std::uint16_t port);
  // Stops the event loop, also for all other users of the same loop.
  void Stop();

  // Replace all faults. SetFaultsFor clears them after `time`.
  void SetFaults(const EndpointFaults& faults);
  void SetFaultsFor(const EndpointFaults& faults, Duration time);
  EndpointFaults faults() const;

  // Multiplies every service time from now on.
  void SetSlowdown(double factor);
  // Responds with status 500 at once instead of serving.
  void SetFailing(bool failing);
  // Reports draining; new calls are still served.
  void SetDraining(bool draining);

  // Number of executed calls, in total and for one Idempotency-Key. With a
  // shared log, ExecutionsOf counts the calls of all endpoints that share it.
  std::uint64_t executions() const { return counts().executions; }
  std::uint64_t ExecutionsOf(const std::string& key) const;
  const ExecutionLog& log() const { return *log_; }
  StandinEndpointCounts counts() const;

 private:
  struct Backend;

  void ChangeFaults(const std::function<void(EndpointFaults&)>& change);

  const StandinEndpointOptions options_;
  std::shared_ptr<StandinLoop> loop_;
  std::shared_ptr<ExecutionLog> log_;
  mutable std::mutex mutex_;
  EndpointFaults faults_;
  StandinEndpointCounts counts_;
  std::unique_ptr<Backend> backend_;
};

}  // namespace damasktack

#endif  // STANDIN_STANDIN_ENDPOINT_H_
