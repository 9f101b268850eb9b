#include "core/memory_account.h"

#include <utility>

namespace damasktack {

MemoryAccount::MemoryAccount(MemoryAccount&& other) noexcept
    : budget_(other.budget_),
      source_(other.source_),
      bytes_(std::exchange(other.bytes_, 0)) {}

MemoryAccount& MemoryAccount::operator=(MemoryAccount&& other) noexcept {
  if (this != &other) {
    Release();
    budget_ = other.budget_;
    source_ = other.source_;
    bytes_ = std::exchange(other.bytes_, 0);
  }
  return *this;
}

bool MemoryAccount::Resize(std::size_t bytes) {
  if (budget_ != nullptr && bytes > bytes_ &&
      !budget_->TryAdd(source_, bytes_, bytes - bytes_)) {
    return false;
  }
  if (budget_ != nullptr && bytes < bytes_) {
    budget_->Remove(bytes_ - bytes);
  }
  bytes_ = bytes;
  return true;
}

}  // namespace damasktack
