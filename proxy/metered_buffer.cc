#include "proxy/metered_buffer.h"

#include <algorithm>
#include <utility>

namespace damasktack {

namespace {

constexpr std::size_t kMaxIdleBytes = 4U << 10U;

}  // namespace

MeteredBuffer::MeteredBuffer(std::size_t max_bytes, MemoryAccount memory)
    : buf_(max_bytes), memory_(std::move(memory)) {}

std::string_view MeteredBuffer::text() const {
  return {static_cast<const char*>(buf_.data().data()), buf_.size()};
}

asio::mutable_buffer MeteredBuffer::Prepare(std::size_t bytes) {
  if (is_full()) {
    return {};
  }
  const std::size_t n = std::min(bytes, buf_.max_size() - buf_.size());
  if (n > buf_.capacity() - buf_.size()) {
    // The capacity that Beast allocates.
    const std::size_t grown =
        std::min(buf_.max_size(), std::max(2 * buf_.size(), buf_.size() + n));
    if (!memory_.GrowTo(grown)) {
      return {};
    }
  }
  return buf_.prepare(n);
}

void MeteredBuffer::Commit(std::size_t bytes) {
  buf_.commit(bytes);
  last_input_ = Clock::now();
}

void MeteredBuffer::Shrink() {
  if (buf_.size() > 0 || buf_.capacity() <= kMaxIdleBytes) {
    return;
  }
  buf_.shrink_to_fit();
  memory_.Resize(buf_.capacity());
}

}  // namespace damasktack
