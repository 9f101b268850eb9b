#ifndef CORE_MEMORY_BUDGET_H_
#define CORE_MEMORY_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace damasktack {

// Bounds the bytes that a process holds for messages of its peers: bodies,
// heads and unread input. Larger messages leave room to smaller ones, so that
// small messages still fit while large ones are refused. Thread-safe.
class MemoryBudget {
 public:
  // Who sent a message. Answers may take room that requests leave free:
  // a request that is in progress needs its answer to end.
  enum class Source : std::uint8_t { kRequest, kAnswer };

  // `limit` is in bytes.
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Lets a message that holds `held` bytes hold `bytes` more. Returns false,
  // and counts it, if there is no room.
  bool TryAdd(Source source, std::size_t held, std::size_t bytes);
  void Remove(std::size_t bytes) { used_ -= bytes; }
  // Returns whether a message of this size fits while nothing else is held.
  bool MayEverFit(Source source, std::size_t bytes) const {
    return bytes <= Ceiling(source, bytes, limit_);
  }

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }
  // Largest value of used() so far.
  std::size_t peak() const { return peak_; }
  // Returns the largest value of used() since the last call of this function.
  std::size_t TakeRecentPeak() { return recent_peak_.exchange(used_); }
  // Number of times that there was no room.
  std::uint64_t refusals() const { return refusals_; }

  // Returns up to which use of the budget a message of this size may grow.
  static std::size_t Ceiling(Source source,
                             std::size_t bytes,
                             std::size_t limit);

 private:
  static void Raise(std::atomic<std::size_t>& peak, std::size_t used);

  const std::size_t limit_;
  std::atomic<std::size_t> used_ = 0;
  std::atomic<std::size_t> peak_ = 0;
  std::atomic<std::size_t> recent_peak_ = 0;
  std::atomic<std::uint64_t> refusals_ = 0;
};

}  // namespace damasktack

#endif  // CORE_MEMORY_BUDGET_H_
