#ifndef TESTS_SOAK_SOAK_RECORDER_H_
#define TESTS_SOAK_SOAK_RECORDER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace damasktack {

// Records by request id which responses callers got and what endpoints
// executed, and reports where the two violate the guarantees of the load
// balancer. Thread-safe.
class SoakRecorder {
 public:
  // Records a request sent by a caller. If it is not `idempotent`, it may be
  // executed at most once.
  void RecordSent(const std::string& call, bool idempotent);
  void RecordRun(const std::string& call);
  // Records an arrival at an endpoint; arrivals after the first are retries.
  void RecordArrival(const std::string& call);
  void RecordAnswer(const std::string& call, int status);
  // Records a violation that the caller has detected itself.
  void AddViolation(std::string text);

  std::size_t calls() const;
  std::size_t answered(int status) const;
  // Returns the recorded violations and those found by comparing the responses
  // with the executions.
  std::vector<std::string> Violations() const;

 private:
  struct Call {
    bool is_known = false;
    bool idempotent = true;
    int runs = 0;
    int arrivals = 0;
    int status = 0;
  };

  mutable std::mutex mutex_;
  std::map<std::string, Call> calls_;
  std::vector<std::string> violations_;
};

}  // namespace damasktack

#endif  // TESTS_SOAK_SOAK_RECORDER_H_
