#ifndef CORE_MEMORY_ACCOUNT_H_
#define CORE_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <limits>

#include "core/memory_budget.h"

namespace damasktack {

// The bytes that one message holds of a budget; gives them back when it is
// destroyed. Without a budget it takes any size. Must not outlive its budget.
class MemoryAccount {
 public:
  MemoryAccount() = default;
  MemoryAccount(MemoryBudget* budget, MemoryBudget::Source source)
      : budget_(budget), source_(source) {}
  ~MemoryAccount() { Release(); }
  MemoryAccount(MemoryAccount&& other) noexcept;
  MemoryAccount& operator=(MemoryAccount&& other) noexcept;
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // Sets the size of the message. Returns false and changes nothing if the
  // budget has no room; always succeeds for a smaller size.
  bool Resize(std::size_t bytes);
  // Like Resize, but never shrinks.
  bool GrowTo(std::size_t bytes) { return bytes <= bytes_ || Resize(bytes); }
  void Release() { Resize(0); }

  std::size_t bytes() const { return bytes_; }
  // Returns a size that the account never exceeds.
  std::size_t limit() const {
    return budget_ == nullptr ? std::numeric_limits<std::size_t>::max()
                              : budget_->limit();
  }
  // Whether a message of this size fits into the budget at all.
  bool MayEverFit(std::size_t bytes) const {
    return budget_ == nullptr || budget_->MayEverFit(source_, bytes);
  }

 private:
  MemoryBudget* budget_ = nullptr;
  MemoryBudget::Source source_ = MemoryBudget::Source::kRequest;
  std::size_t bytes_ = 0;
};

}  // namespace damasktack

#endif  // CORE_MEMORY_ACCOUNT_H_
