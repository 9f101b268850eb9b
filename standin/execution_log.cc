#include "standin/execution_log.h"

namespace damasktack {

namespace {

std::uint64_t CountOf(const ExecutionLog::Counts& counts,
                      const std::string& name) {
  const auto it = counts.find(name);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

void ExecutionLog::Add(const std::string& idempotency_key,
                       const std::string& call) {
  const std::lock_guard lock(mutex_);
  ++total_;
  if (!idempotency_key.empty()) {
    ++by_key_[idempotency_key];
  }
  if (!call.empty()) {
    ++by_call_[call];
  }
}

std::uint64_t ExecutionLog::total() const {
  const std::lock_guard lock(mutex_);
  return total_;
}

std::uint64_t ExecutionLog::OfKey(const std::string& idempotency_key) const {
  const std::lock_guard lock(mutex_);
  return CountOf(by_key_, idempotency_key);
}

std::uint64_t ExecutionLog::OfCall(const std::string& call) const {
  const std::lock_guard lock(mutex_);
  return CountOf(by_call_, call);
}

ExecutionLog::Counts ExecutionLog::by_key() const {
  const std::lock_guard lock(mutex_);
  return by_key_;
}

ExecutionLog::Counts ExecutionLog::by_call() const {
  const std::lock_guard lock(mutex_);
  return by_call_;
}

}  // namespace damasktack
