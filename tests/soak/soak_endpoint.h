#ifndef TESTS_SOAK_SOAK_ENDPOINT_H_
#define TESTS_SOAK_SOAK_ENDPOINT_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "core/time.h"
#include "tests/soak/soak_recorder.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace damasktack {

// Simulates one endpoint of the platform: executes requests whose target header
// names it, rejects others, reports its load, and records in the ledger what it
// executed.
class SoakEndpoint {
 public:
  SoakEndpoint(std::string id, std::string service, SoakRecorder& ledger);
  ~SoakEndpoint();

  std::uint16_t port() const { return port_; }
  std::string id() const;
  const std::string& service() const { return service_; }
  // Gives the address to a new endpoint; requests for the old one are rejected.
  void SetNewIdentity(const std::string& id);
  // Rejects every request with 503, not executed, as an overloaded endpoint
  // does.
  void SetFull(bool full) { is_full_ = full; }
  void SetSlowdown(int factor) { slowdown_ = factor; }
  // Announces a rate limit in requests per second over all hosts; 0 for none.
  void SetRateLimit(int per_second) { rate_limit_ = per_second; }
  // Sends this Retry-After with each rejection for overload; 0 for none.
  void SetRetryAfter(int seconds) { retry_after_seconds_ = seconds; }
  // Announces in its responses that it leaves, until SetNewIdentity().
  void AnnounceLeaving() { is_leaving_ = true; }
  // Number of requests that arrived with this endpoint as their target.
  int arrivals() const { return arrivals_; }
  // While set, each request that arrives is recorded as a violation.
  void ForbidArrivals(bool forbidden) { is_forbidden_ = forbidden; }

 private:
  void Serve(const httplib::Request& req, httplib::Response& res);
  std::string LoadHeader() const;
  void SetLimitHeaders(httplib::Response& res) const;

  const std::string service_;
  SoakRecorder& ledger_;
  mutable std::mutex mutex_;
  std::string id_;
  std::atomic<bool> is_full_ = false;
  std::atomic<bool> is_forbidden_ = false;
  std::atomic<bool> is_leaving_ = false;
  std::atomic<int> slowdown_ = 1;
  std::atomic<int> rate_limit_ = 0;
  std::atomic<int> retry_after_seconds_ = 0;
  std::atomic<int> arrivals_ = 0;
  std::atomic<int> running_ = 0;
  std::unique_ptr<httplib::Server> server_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_ENDPOINT_H_
