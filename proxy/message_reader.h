#ifndef PROXY_MESSAGE_READER_H_
#define PROXY_MESSAGE_READER_H_

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <string>

#include "core/memory_account.h"
#include "proxy/http_types.h"
#include "proxy/metered_buffer.h"

namespace damasktack {

// How reading a message ended.
struct ReadEnd {
  // Success once the message is complete, not_enough_memory if there was no
  // room for it, else the error of the parser or the connection.
  boost::system::error_code ec;
  // Bytes taken from the connection.
  std::size_t bytes = 0;
};

// Decides what happens while the budget has no room: returns whether the
// account has been resized in the end.
template <typename T>
concept MessageRoom = requires(T& room, MemoryAccount& memory, std::size_t n) {
  { room.Take(memory, n) } -> std::same_as<asio::awaitable<bool>>;
};

// Bytes that one read of a head may take from the connection.
inline constexpr std::size_t kHeadPieceBytes = 4U << 10U;
// Memory that the fields of a head take, for each byte of the head.
inline constexpr std::size_t kMemoryPerHeadByte = 2;

namespace detail {

// Bytes that one read of a body may take from the connection.
inline constexpr std::size_t kBodyPieceBytes = 16U << 10U;
// A body beyond this size gets the capacity of the largest one at once: pages
// that are not written to take no memory, and growing by copies would hold a
// body twice.
inline constexpr std::size_t kMaxCopiedBytes = 1U << 20U;

inline boost::system::error_code NoMemory() {
  return make_error_code(boost::system::errc::not_enough_memory);
}

// Makes room for a body of `bytes`, which may count framing too; a body has at
// most `max_bytes`.
inline void ReserveCapacity(std::string& body,
                            std::size_t bytes,
                            std::size_t max_bytes) {
  const std::size_t needed = std::min(bytes, max_bytes);
  if (needed > body.capacity() && needed > kMaxCopiedBytes) {
    body.reserve(max_bytes);
  }
}

}  // namespace detail

// Reads once from `socket`, at most `max_bytes`. Ends with not_enough_memory if
// the budget is used up, and with buffer_overflow if the buffer is full.
inline asio::awaitable<ReadEnd> ReadMore(Tcp::socket& socket,
                                         MeteredBuffer& buf,
                                         std::size_t max_bytes) {
  ReadEnd end;
  const asio::mutable_buffer room = buf.Prepare(max_bytes);
  if (room.size() == 0) {
    end.ec = buf.is_full() ? make_error_code(http::error::buffer_overflow)
                           : detail::NoMemory();
    co_return end;
  }
  end.bytes = co_await socket.async_read_some(
      room, asio::redirect_error(asio::use_awaitable, end.ec));
  buf.Commit(end.bytes);
  co_return end;
}

// Takes the memory for the whole body if its length is stated.
template <typename Parser, MessageRoom Room>
asio::awaitable<bool> TakeStatedBody(const Parser& parser,
                                     MemoryAccount& memory,
                                     Room& room) {
  const auto length = parser.content_length_remaining();
  if (!length || parser.is_done()) {
    co_return true;
  }
  const std::size_t bytes = memory.bytes() + static_cast<std::size_t>(*length);
  co_return memory.Resize(bytes) || co_await room.Take(memory, bytes);
}

// Reads the body of a message whose head `parser` has taken. `memory` holds
// what the head takes, and the whole body if its length is stated; each part of
// any other body is added before it is kept. No body exceeds `max_body_bytes`.
template <typename Parser, MessageRoom Room>
asio::awaitable<ReadEnd> ReadBody(Tcp::socket& socket,
                                  MeteredBuffer& buf,
                                  Parser& parser,
                                  std::size_t max_body_bytes,
                                  MemoryAccount& memory,
                                  Room& room) {
  ReadEnd end;
  const bool has_length = parser.content_length_remaining().has_value();
  const std::size_t head_bytes = memory.bytes();
  const std::size_t max_capacity = std::min(max_body_bytes, memory.limit());
  parser.eager(true);
  while (!parser.is_done()) {
    if (buf.size() > 0) {
      std::string& body = parser.get().body();
      const std::size_t body_bytes = body.size() + buf.size();
      const std::size_t bytes = head_bytes + body_bytes;
      if (!has_length && !memory.GrowTo(bytes)) {
        const bool is_taken = co_await room.Take(memory, bytes);
        if (!is_taken) {
          end.ec = detail::NoMemory();
          co_return end;
        }
      }
      detail::ReserveCapacity(body, body_bytes, max_capacity);
      buf.Consume(parser.put(buf.data(), end.ec));
      if (end.ec && end.ec != http::error::need_more) {
        co_return end;
      }
      end.ec = {};
      if (parser.is_done()) {
        break;
      }
    }
    const ReadEnd more =
        co_await ReadMore(socket, buf, detail::kBodyPieceBytes);
    end.bytes += more.bytes;
    if (more.ec == asio::error::eof) {
      parser.put_eof(end.ec);
      co_return end;
    }
    if (more.ec) {
      end.ec = more.ec;
      co_return end;
    }
  }
  if (!has_length) {
    // Framing was taken for a part of the body.
    memory.Resize(head_bytes + parser.get().body().size());
  }
  co_return end;
}

}  // namespace damasktack

#endif  // PROXY_MESSAGE_READER_H_
