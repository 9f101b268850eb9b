#ifndef PROXY_METERED_BUFFER_H_
#define PROXY_METERED_BUFFER_H_

#include <cstddef>
#include <string_view>

#include "core/memory_account.h"
#include "core/time.h"
#include "proxy/http_types.h"

namespace damasktack {

// The unread input of a connection, whose size is taken from a memory budget.
class MeteredBuffer {
 public:
  // Holds at most `max_bytes`.
  explicit MeteredBuffer(std::size_t max_bytes, MemoryAccount memory = {});

  void SetMaxBytes(std::size_t bytes) { buf_.max_size(bytes); }

  std::size_t size() const { return buf_.size(); }
  std::string_view text() const;
  asio::const_buffer data() const { return buf_.data(); }

  // Returns room to read into: at least one byte, at most `bytes`. Empty if the
  // buffer is full or the budget is used up.
  asio::mutable_buffer Prepare(std::size_t bytes);
  // Adds the first `bytes` of the room that was prepared last.
  void Commit(std::size_t bytes);
  // Removes bytes from the beginning.
  void Consume(std::size_t bytes) { buf_.consume(bytes); }
  // Gives back a capacity that an idle connection does not need. Has no effect
  // while the buffer is not empty.
  void Shrink();
  // Time of the last Commit, or of the construction.
  TimePoint last_input() const { return last_input_; }
  // Whether it is full; otherwise an empty room means that the budget is used
  // up.
  bool is_full() const { return buf_.size() >= buf_.max_size(); }

 private:
  beast::flat_buffer buf_;
  MemoryAccount memory_;
  TimePoint last_input_ = Clock::now();
};

}  // namespace damasktack

#endif  // PROXY_METERED_BUFFER_H_
