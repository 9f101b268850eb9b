#ifndef STANDIN_EXECUTION_LOG_H_
#define STANDIN_EXECUTION_LOG_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <unordered_map>

namespace damasktack {

// Counts how often each call was executed. Tests compare the outcomes that
// callers saw with these counts. Thread-safe; endpoints may share one log.
class ExecutionLog {
 public:
  using Counts = std::unordered_map<std::string, std::uint64_t>;

  // Counts one execution. An empty key or call id is not counted by name.
  void Add(const std::string& idempotency_key, const std::string& call);

  std::uint64_t total() const;
  std::uint64_t OfKey(const std::string& idempotency_key) const;
  // `call` is the value of the header Damasktack-Call.
  std::uint64_t OfCall(const std::string& call) const;
  Counts by_key() const;
  Counts by_call() const;

 private:
  mutable std::mutex mutex_;
  std::uint64_t total_ = 0;
  Counts by_key_;
  Counts by_call_;
};

}  // namespace damasktack

#endif  // STANDIN_EXECUTION_LOG_H_
