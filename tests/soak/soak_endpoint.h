#ifndef TESTS_SOAK_SOAK_ENDPOINT_H_
#define TESTS_SOAK_SOAK_ENDPOINT_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "core/time.h"
#include "tests/soak/soak_ledger.h"

namespace httplib {
class Server;
struct Request;
struct Response;
}  // namespace httplib

namespace damasktack {

// One endpoint as the platform's callers know it: runs requests that name it,
// refuses others, tells its load, and tells the ledger what it ran.
class SoakEndpoint {
 public:
  SoakEndpoint(std::string id, std::string service, SoakLedger& ledger);
  ~SoakEndpoint();

  std::uint16_t port() const { return port_; }
  std::string id() const;
  const std::string& service() const { return service_; }
  // The address passes to a new endpoint; the old one's requests are refused.
  void BecomeNew(const std::string& id);
  // Answers 503 unrun to everything, as an endpoint does that is full.
  void SetFull(bool full) { is_full_ = full; }
  void SetSlowdown(int factor) { slowdown_ = factor; }
  // States a limit of so many requests a second from all hosts; 0 for none.
  void SetRateLimit(int per_second) { rate_limit_ = per_second; }
  // Asks each host that it refuses for so much rest; 0 for none.
  void SetRest(int seconds) { rest_seconds_ = seconds; }
  // Says in its answers that it leaves, until it becomes a new one.
  void SayLeaving() { is_leaving_ = true; }
  // Requests that have arrived and named it.
  int arrivals() const { return arrivals_; }
  // From now on nothing may arrive any more; what does is a violation.
  void ForbidArrivals(bool forbidden) { is_forbidden_ = forbidden; }

 private:
  void Serve(const httplib::Request& req, httplib::Response& res);
  std::string Load() const;
  void SayWishes(httplib::Response& res) const;

  const std::string service_;
  SoakLedger& ledger_;
  mutable std::mutex mutex_;
  std::string id_;
  std::atomic<bool> is_full_ = false;
  std::atomic<bool> is_forbidden_ = false;
  std::atomic<bool> is_leaving_ = false;
  std::atomic<int> slowdown_ = 1;
  std::atomic<int> rate_limit_ = 0;
  std::atomic<int> rest_seconds_ = 0;
  std::atomic<int> arrivals_ = 0;
  std::atomic<int> running_ = 0;
  std::unique_ptr<httplib::Server> server_;
  std::uint16_t port_ = 0;
  std::thread thread_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_ENDPOINT_H_
